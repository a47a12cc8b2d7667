//! Observes whether the configuration is proven to be recent, for logs and metrics.

use crate::control::Control;
use crate::currency_gate::ProofChange;
use crate::platform::RecordDecoder;
use dogwoodshunt_serving::Config;
use dogwoodshunt_workspaces::KeyChanges;
use slog::info;
use slog::warn;
use std::time::Duration;

impl<D: RecordDecoder> Control<D> {
    /// Logs that the proof was lost or gained, and sets the gauge of its age.
    pub(super) fn observe_proof(&self) {
        let currency = &self.context.shared_state.currency;
        let now = currency.now();
        let millis = |age: Duration| i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        let age = currency.proof_age(now).map_or(-1, millis);
        self.context.metrics.config_proof_age_ms.set(age);
        match currency.observe(now) {
            Some(ProofChange::Lost { age }) => {
                warn!(self.context.log, "proof of the configuration lost, refusing requests with keys";
                    "age_ms" => age.map_or(-1, millis));
            }
            Some(ProofChange::Gained) => {
                info!(self.context.log, "configuration proven, serving requests with keys";
                    "age_ms" => age);
            }
            None => {}
        }
    }

    /// Logs how many keys of each workspace a configuration adds and takes away.
    pub(super) fn log_key_changes(&self, before: Option<&Config>, after: &Config) {
        let workspaces = |config: &Config| config.workspaces.clone().unwrap_or_default();
        let before = before.map(workspaces).unwrap_or_default();
        let changes = KeyChanges::between(&before, &workspaces(after));
        if !changes.is_empty() {
            info!(self.context.log, "keys changed"; "revision" => after.revision,
                "changes" => %changes);
        }
    }
}
