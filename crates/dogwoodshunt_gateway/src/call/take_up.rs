//! Streams that callers take up: finds the service and the software version that began a stream,
//! since it goes on only there.

use crate::call::Call;
use crate::call::CallHandler;
use crate::control::ControlEvent;
use crate::platform::UpstreamClient;
use dogwoodshunt_serving::Route;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::ServiceName;
use dogwoodshunt_types::SoftwareVersion;
use dogwoodshunt_types::StreamId;
use dogwoodshunt_types::stream_id;
use dogwoodshunt_wire::frame::StreamOrigin;
use slog::info;
use smol::Timer;
use smol::future::FutureExt;
use std::time::Duration;
use std::time::Instant;

/// Retry-after time sent to a caller whose stream nobody knows: an agent that knows it may have been
/// out of reach.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry-after time sent to a caller whose stream no upstream of its route can continue.
const GONE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Service, and version of its software, that must run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Destination {
    pub(super) service: ServiceName,
    /// `None` if any version may run the request.
    pub(super) software: Option<SoftwareVersion>,
}

impl Call {
    /// Returns whether the caller has the first part of the stream.
    fn takes_stream_up(&self) -> bool {
        self.resumes.is_some() || self.resume_after.is_some_and(|event| event > 0)
    }

    /// Returns the stream whose events the response brings: a new one, or the one that the caller
    /// takes up.
    pub(super) fn stream(&self) -> StreamId {
        stream_id(self.resumes.as_deref().unwrap_or(&self.id))
    }

    /// Returns the origin of the stream of the call, as recorded when its first event is relayed.
    pub(super) fn stream_origin(
        &self,
        service: &ServiceName,
        software: &SoftwareVersion,
    ) -> StreamOrigin {
        StreamOrigin {
            stream: self.stream(),
            service: service.clone(),
            software: software.clone(),
        }
    }
}

impl<U: UpstreamClient> CallHandler<U> {
    /// Returns what must run a call of `route`; `None` if the route has no service.
    ///
    /// # Errors
    ///
    /// Fails if the call takes up a stream that nobody knows, or that a service began which the
    /// route does not lead to.
    pub(super) async fn find_destination(
        &self,
        call: &Call,
        route: &Route,
        deadline: Instant,
    ) -> Result<Option<Destination>, NotRun> {
        if !call.takes_stream_up() {
            let destination = route.service_for(&call.id).map(|service| Destination {
                service: service.clone(),
                software: None,
            });
            return Ok(destination);
        }
        let unknown = NotRun::new(NotRunReason::SoftwareUnknown, UNKNOWN_RETRY_AFTER);
        let first = call.resumes.as_deref().ok_or(unknown)?;
        let started_at = Instant::now();
        let found = self.find_origin(stream_id(first), deadline).await;
        let waited = started_at.elapsed();
        let known = found.as_ref();
        info!(self.log, "stream taken up"; "id" => %call.id, "resumes" => first,
            "after" => call.resume_after,
            "service" => known.map_or("", |known| &*known.origin.service),
            "software" => known.map_or("", |known| &*known.origin.software),
            "source" => known.map_or("unknown", |known| known.source),
            "waited_ms" => waited.as_millis() as u64);
        let origin = found.ok_or(unknown)?.origin;
        if !route.leads_to(&origin.service) {
            return Err(NotRun::new(NotRunReason::SoftwareGone, GONE_RETRY_AFTER));
        }
        Ok(Some(Destination {
            service: origin.service,
            software: Some(origin.software),
        }))
    }

    async fn find_origin(
        &self,
        stream: StreamId,
        deadline: Instant,
    ) -> Option<crate::control::KnownOrigin> {
        let (reply_tx, origin_rx) = async_channel::bounded(1);
        let event = ControlEvent::FindOrigin { stream, reply_tx };
        // The channel is closed only while the process exits.
        self.events.send(event).await.ok()?;
        let found = async { origin_rx.recv().await.ok().flatten() };
        let timeout = async {
            Timer::at(deadline).await;
            None
        };
        found.or(timeout).await
    }
}
