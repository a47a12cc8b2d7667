//! Fingerprints by which repeats of a request are recognized under whatever ids.

use crate::call::Call;
use dogwoodshunt_types::RequestFingerprint;
use dogwoodshunt_types::rendezvous;
use hyper::header;

impl Call {
    /// Returns the fingerprint of the request, which covers its method, host, path and query,
    /// the credentials of the caller and the body.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let credentials = self.headers.get(header::AUTHORIZATION);
        let credentials = credentials.map_or(&[][..], |value| value.as_bytes());
        let parts = [
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.path.as_bytes(),
            credentials,
            &self.body,
        ];
        parts
            .iter()
            .fold(0, |seed, part| rendezvous::hash(part, seed))
    }
}
