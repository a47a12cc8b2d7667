//! Sample adapters.

use dogwoodshunt_catalogue::AdapterSpec;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_operator::Operator;
use dogwoodshunt_operator::client::CallError;
use dogwoodshunt_operator::messages::Appended;
use dogwoodshunt_operator::messages::SubmitRelease;

/// Base model of the samples and of the local engines.
pub const BASE_MODEL: &str = "base";

/// Returns a sample adapter.
pub fn spec(adapter: &str, version: &str) -> AdapterSpec {
    AdapterSpec::builder()
        .adapter(adapter)
        .version(version)
        .base_model(BASE_MODEL)
        .source(format!("weights/{adapter}/{version}"))
        .digest("sha256:sample")
        .build()
}

/// Submits a note that adds `adapters` at `version`.
///
/// # Errors
///
/// Fails if the note is refused or the entry does not answer.
pub async fn add(
    operator: &Operator,
    id: &str,
    adapters: &[&str],
    version: &str,
) -> Result<Appended, CallError> {
    let note = ReleaseNote::builder()
        .id(id)
        .author("local")
        .based_on(operator.status().await?.revision)
        .added(
            adapters
                .iter()
                .map(|adapter| spec(adapter, version))
                .collect::<Vec<_>>(),
        )
        .build();
    let rebase = Rebase::Allowed;
    operator.submit(&SubmitRelease { note, rebase }).await
}
