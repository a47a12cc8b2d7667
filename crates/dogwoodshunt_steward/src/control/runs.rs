//! Runs that entries ask room for, and make themselves once it is granted.

use crate::control::Control;
use crate::control::LinkKey;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::job::AnyJob;
use dogwoodshunt_residency::job::Job;
use dogwoodshunt_residency::job::Refused;
use dogwoodshunt_residency::job::RunEnd;
use dogwoodshunt_types::BootId;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::Priority;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Admit;
use slog::info;
use std::time::Duration;
use std::time::Instant;

/// How long runs of an entry that is out of reach keep their room: it may have
/// lost only this connection, and then it connects again well before.
const ABANDONED_LIMIT: Duration = Duration::from_secs(3);

/// A run that an entry has asked room for.
pub(super) struct RunState {
    link: LinkKey,
    job: JobKey,
    abandoned: Option<Instant>,
}

impl Control {
    pub(super) fn on_admit(&mut self, now: Instant, link: LinkKey, admit: Admit) {
        let request = admit.request;
        let mut target = admit.target;
        if let Target::Adapter { adapter, .. } = &mut target {
            *adapter = self.engine.newest(adapter);
        }
        if let Some(run) = self.runs.get_mut(&request) {
            run.link = link;
            run.abandoned = None;
            return;
        }
        let deadline = Some(now + admit.time_left);
        let due = Some(now + admit.due_in);
        let job = Job::new(request, target, Priority::Normal, now, deadline);
        let job = job.with_demand(admit.demand, due);
        let taken = if admit.started {
            let key = self.engine.key;
            let adopted = key.and_then(|key| self.residency.adopt(now, key, job));
            adopted.ok_or(NotRun::new(NotRunReason::NoUpstream, Duration::ZERO))
        } else {
            self.residency.submit(now, job, &super::Open)
        };
        match taken {
            Ok(job) => {
                let run = RunState {
                    link,
                    job,
                    abandoned: None,
                };
                self.runs.insert(request, run);
                self.by_job.insert(job, request);
            }
            Err(not_run) => {
                info!(self.around.log, "declined"; "request" => %request,
                    "reason" => %not_run.reason, "started" => admit.started);
                self.around
                    .metrics
                    .count_admission(not_run.reason.to_string());
                self.send(link, Frame::NotRun { request, not_run });
            }
        }
    }

    /// Tells the entry that its run may start.
    pub(super) fn grant(&mut self, now: Instant, job: JobKey) {
        let Some(request) = self.by_job.get(&job).copied() else {
            return;
        };
        let (Some(run), Some(identity)) = (self.runs.get(&request), &self.engine.identity) else {
            return;
        };
        let Some(AnyJob::Running(held)) = self.residency.job(job) else {
            return;
        };
        let waited = now.saturating_duration_since(held.arrived);
        self.around.metrics.count_admission("granted");
        self.around
            .metrics
            .queue_seconds
            .observe(waited.as_secs_f64());
        info!(self.around.log, "granted"; "request" => %request, "target" => %held.target,
            "unread" => held.unread(), "waited_ms" => waited.as_millis() as u64);
        let frame = Frame::Admitted {
            request,
            upstream: identity.name.clone(),
            target: held.target.clone(),
        };
        let link = run.link;
        self.send(link, frame);
    }

    pub(super) fn decline(&mut self, job: JobKey, refused: &Refused) {
        self.by_job.remove(&job);
        let Some(run) = self.runs.remove(&refused.request) else {
            return;
        };
        let (request, not_run) = (refused.request, refused.not_run);
        info!(self.around.log, "declined"; "request" => %request, "reason" => %not_run.reason,
            "queued" => self.residency.queued_len(),
            "running" => self.residency.running_len());
        self.around
            .metrics
            .count_admission(not_run.reason.to_string());
        self.send(run.link, Frame::NotRun { request, not_run });
    }

    pub(super) fn on_first_byte(&mut self, now: Instant, request: RequestId) {
        if let Some(run) = self.runs.get(&request) {
            self.residency.on_first_byte(now, run.job);
        }
    }

    pub(super) fn on_done(&mut self, now: Instant, request: RequestId, adapter_missing: bool) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        self.by_job.remove(&run.job);
        if adapter_missing {
            self.residency.forget_adapter_of(run.job);
        }
        let actions = self.residency.on_run_end(now, run.job, RunEnd::Over);
        self.carry_out(now, actions);
    }

    /// Ends a request whose caller has gone; it may wait, or run already.
    pub(super) fn on_cancel(&mut self, now: Instant, request: RequestId) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        self.by_job.remove(&run.job);
        match self.residency.job(run.job) {
            Some(AnyJob::Queued(job)) => {
                let waited = now.saturating_duration_since(job.arrived);
                info!(self.around.log, "withdrawn"; "request" => %request,
                    "target" => %job.target, "waited_ms" => waited.as_millis() as u64,
                    "queued" => self.residency.queued_len(),
                    "running" => self.residency.running_len());
                self.around.metrics.count_admission("withdrawn");
                let actions = self.residency.cancel(run.job);
                self.carry_out(now, actions);
            }
            Some(AnyJob::Running(_)) => {
                let actions = self.residency.on_run_end(now, run.job, RunEnd::Over);
                self.carry_out(now, actions);
            }
            None => {}
        }
    }

    /// Notes that the entry with `boot` is out of reach.
    pub(super) fn abandon_runs(&mut self, now: Instant, boot: BootId) {
        let runs = self.runs.iter_mut();
        for (_, run) in runs.filter(|(request, _)| request.entry_boot == boot) {
            run.abandoned = Some(now);
        }
    }

    /// Ends all runs of an entry process that is gone.
    pub(super) fn release_boot(&mut self, now: Instant, boot: BootId) {
        let of_boot = self.runs.keys().filter(|r| r.entry_boot == boot);
        let gone: Vec<RequestId> = of_boot.copied().collect();
        gone.into_iter()
            .for_each(|request| self.on_cancel(now, request));
    }

    pub(super) fn release_abandoned(&mut self, now: Instant) {
        let over = |at: Instant| now.saturating_duration_since(at) >= ABANDONED_LIMIT;
        let gone: Vec<RequestId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.abandoned.is_some_and(over))
            .map(|(request, _)| *request)
            .collect();
        gone.into_iter()
            .for_each(|request| self.on_cancel(now, request));
    }
}
