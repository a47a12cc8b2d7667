//! Sample adapters for local fleets and tests.

use dogwoodshunt_catalogue::AdapterSpec;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_operator::OperatorClient;
use dogwoodshunt_operator::client::ClientError;
use dogwoodshunt_operator::messages::ChangeResponse;
use dogwoodshunt_operator::messages::ReleaseRequest;

/// Base model of the sample adapters and of the engine stand-ins.
pub const BASE_MODEL: &str = "base";

/// Returns the specification of a sample adapter.
pub fn adapter_spec(adapter: &str, version: &str) -> AdapterSpec {
    AdapterSpec::builder()
        .adapter(adapter)
        .version(version)
        .base_model(BASE_MODEL)
        .source(format!("weights/{adapter}/{version}"))
        .digest("sha256:sample")
        .build()
}

/// Submits a release note that adds `adapters` with `version`.
///
/// # Errors
///
/// Returns an error if the note is refused or the entry does not respond.
pub async fn submit_adapters(
    operator: &OperatorClient,
    id: &str,
    adapters: &[&str],
    version: &str,
) -> Result<ChangeResponse, ClientError> {
    let note = ReleaseNote::builder()
        .id(id)
        .author("local")
        .based_on(operator.status().await?.revision)
        .added(
            adapters
                .iter()
                .map(|adapter| adapter_spec(adapter, version))
                .collect::<Vec<_>>(),
        )
        .build();
    let rebase = Rebase::Allowed;
    operator
        .submit_release(&ReleaseRequest { note, rebase })
        .await
}
