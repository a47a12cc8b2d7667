//! Ledger of the workspaces for which entries have chosen this agent.

use crate::control::Control;
use crate::control::LinkKey;
use dogwoodshunt_quotas::Ledger;
use dogwoodshunt_quotas::QuotaGrant;
use dogwoodshunt_quotas::QuotaRequest;
use dogwoodshunt_quotas::ledger::Answer;
use dogwoodshunt_wire::Frame;
use slog::info;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Time between two log lines on the number of workspaces.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Ledger, with what was last logged about it.
pub(super) struct QuotaState {
    ledger: Ledger<LinkKey>,
    logged_workspaces: usize,
    log_due: Instant,
}

impl QuotaState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            ledger: Ledger::default(),
            logged_workspaces: 0,
            log_due: now,
        }
    }

    pub(super) fn on_entry_disconnected(&mut self, now: Instant, key: LinkKey) {
        self.ledger.on_disconnected(now, key);
    }
}

impl Control {
    pub(super) fn on_quota_request(&mut self, now: Instant, key: LinkKey, request: QuotaRequest) {
        let registered = request.registered;
        let answers = self.quotas.ledger.on_request(now, key, request);
        let register_again = self.quotas.ledger.has_lost_registrations(key, registered);
        self.send_answers(answers, register_again.then_some(key));
    }

    /// Grants the asks that have waited long enough.
    pub(super) fn tick_quotas(&mut self, now: Instant) {
        let answers = self.quotas.ledger.tick(now);
        self.send_answers(answers, None);
        let workspaces = self.quotas.ledger.workspace_count();
        if workspaces != self.quotas.logged_workspaces && self.quotas.log_due <= now {
            info!(self.context.log, "ledger"; "workspaces" => workspaces,
                "before" => self.quotas.logged_workspaces);
            self.quotas.logged_workspaces = workspaces;
            self.quotas.log_due = now + LOG_INTERVAL;
            let workspaces = i64::try_from(workspaces).unwrap_or(i64::MAX);
            self.context.metrics.quota_workspaces.set(workspaces);
        }
    }

    /// Sends answers, those to one entry in one frame, and tells `lost` to register again.
    fn send_answers(&mut self, answers: Vec<Answer<LinkKey>>, lost: Option<LinkKey>) {
        let mut grants: BTreeMap<LinkKey, QuotaGrant> = BTreeMap::new();
        for (key, answer) in answers {
            let outcome = match answer.amount {
                0 => "refused",
                _ => "granted",
            };
            self.context.metrics.count_quota_ask(outcome, answer.amount);
            grants.entry(key).or_default().workspaces.push(answer);
        }
        if let Some(key) = lost {
            grants.entry(key).or_default().register_again = true;
        }
        for (key, grant) in grants {
            self.send(key, Frame::QuotaGrant(Box::new(grant)));
        }
    }
}
