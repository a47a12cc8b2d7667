//! Runs that entries request: admission, grant, refusal and end.

use crate::control::Control;
use crate::control::LinkKey;
use crate::control::crashes;
use crate::control::crashes::SharedParts;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::job::AnyJob;
use dogwoodshunt_residency::job::Job;
use dogwoodshunt_residency::job::Pacing;
use dogwoodshunt_residency::job::Refusal;
use dogwoodshunt_residency::job::RunOutcome;
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

/// Time for which the runs of a disconnected entry are kept. An entry that has lost
/// only its connection to the agent reconnects well within this time.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// A requested run that has neither ended nor been refused.
pub(super) struct RunState {
    link: LinkKey,
    job: JobKey,
    /// Ids of the shared parts of its prompt.
    shared_parts: SharedParts,
    /// Whether the engine has begun to answer.
    is_answered: bool,
    /// When the entry disconnected. Cleared when the entry requests the run again on
    /// a new connection.
    disconnected_at: Option<Instant>,
}

impl Control {
    /// Queues a requested run, or adopts the run as granted if the entry has already
    /// started it, for example under an earlier agent process.
    ///
    /// A request for a known run moves the run to the connection `link`.
    pub(super) fn on_admit(&mut self, now: Instant, link: LinkKey, admit: Admit) {
        let request = admit.request;
        let mut target = admit.target;
        if let Target::Adapter { adapter, .. } = &mut target {
            *adapter = self.engine.newest_version(adapter);
        }
        if let Some(run) = self.runs.get_mut(&request) {
            run.link = link;
            run.disconnected_at = None;
            return;
        }
        let deadline = Some(now + admit.time_left);
        let due_at = Some(now + admit.due_in);
        let shared_parts = crashes::shared_part_ids(admit.demand.shared_parts());
        let job = Job::new(request, target, Priority::Normal, now, deadline);
        let pacing = admit.paced.then_some(Pacing {
            max_event_gap: admit.max_event_gap,
        });
        let job = job
            .with_demand(admit.demand, due_at)
            .with_workspace(admit.workspace.clone())
            .with_pacing(pacing);
        let submitted = if admit.started {
            let key = self.engine.key;
            let adopted = key.and_then(|key| self.scheduler.adopt(now, key, job));
            adopted.ok_or(NotRun::new(NotRunReason::NoUpstream, Duration::ZERO))
        } else {
            self.scheduler.submit(now, job, &super::AdmitAllTargets)
        };
        match submitted {
            Ok(job) => {
                let run = RunState {
                    link,
                    job,
                    shared_parts,
                    is_answered: false,
                    disconnected_at: None,
                };
                self.runs.insert(request, run);
                self.request_by_job.insert(job, request);
            }
            Err(not_run) => {
                info!(self.context.log, "declined"; "request" => %request,
                    "reason" => %not_run.reason, "started" => admit.started,
                    "workspace" => admit.workspace.as_deref());
                self.context
                    .metrics
                    .count_admission(not_run.reason.to_string());
                self.context
                    .metrics
                    .count_refusal_of(admit.workspace.as_deref());
                self.send(link, Frame::NotRun { request, not_run });
            }
        }
    }

    /// Sends the grant of the run of `job` to its entry.
    pub(super) fn grant(&mut self, now: Instant, job: JobKey) {
        let Some(request) = self.request_by_job.get(&job).copied() else {
            return;
        };
        let (Some(run), Some(identity)) = (self.runs.get(&request), &self.engine.identity) else {
            return;
        };
        let Some(AnyJob::Running(running)) = self.scheduler.job(job) else {
            return;
        };
        let waited = now.saturating_duration_since(running.arrived);
        self.context.metrics.count_admission("granted");
        self.context
            .metrics
            .queue_seconds
            .observe(waited.as_secs_f64());
        info!(self.context.log, "granted"; "request" => %request, "target" => %running.target,
            "unread" => running.pending_prefill(), "waited_ms" => waited.as_millis() as u64,
            "workspace" => running.workspace.as_deref());
        self.context
            .metrics
            .count_work_of(running.workspace.as_deref(), running.charged_work());
        let frame = Frame::Admitted {
            request,
            upstream: identity.name.clone(),
            started: self.engine.started_at(),
            service: identity.service.clone(),
            target: running.target.clone(),
        };
        let link = run.link;
        self.send(link, frame);
    }

    /// Sends the scheduler's refusal of the run of `job` to its entry.
    pub(super) fn decline(&mut self, now: Instant, job: JobKey, refusal: &Refusal) {
        self.request_by_job.remove(&job);
        let Some(run) = self.runs.remove(&refusal.request) else {
            return;
        };
        let (request, not_run) = (refusal.request, refusal.not_run);
        info!(self.context.log, "declined"; "request" => %request, "reason" => %not_run.reason,
            "queued" => self.scheduler.queued_len(),
            "running" => self.scheduler.running_len(),
            "workspace" => refusal.workspace.as_deref(),
            "beyond_share" => self.scheduler.fair_share().is_beyond_share(now, &refusal.workspace),
            "retry_ms" => not_run.retry_after.as_millis() as u64);
        self.context
            .metrics
            .count_admission(not_run.reason.to_string());
        self.context
            .metrics
            .count_refusal_of(refusal.workspace.as_deref());
        self.send(run.link, Frame::NotRun { request, not_run });
    }

    pub(super) fn on_first_byte(&mut self, now: Instant, request: RequestId) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.is_answered = true;
            self.crash_log.on_answer(now, &run.shared_parts);
            self.scheduler.on_first_byte(now, run.job);
        }
    }

    pub(super) fn on_done(
        &mut self,
        now: Instant,
        request: RequestId,
        adapter_missing: bool,
        broken_off: bool,
    ) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        if broken_off {
            let suspect = (!run.is_answered).then_some(run.shared_parts);
            self.crash_log.on_broken_run(now, suspect);
            // A poll that is requested already shows whether the engine still runs.
            let _ = self.context.poll_tx.try_send(());
        }
        self.request_by_job.remove(&run.job);
        if adapter_missing {
            self.scheduler.mark_adapter_unknown(run.job);
            // The entry has dropped the adapter from its copy of the report, so changes
            // since the last report no longer apply to it.
            self.send_full_report_next(run.link);
        }
        let actions = self
            .scheduler
            .on_run_end(now, run.job, RunOutcome::Finished);
        self.carry_out_actions(now, actions);
    }

    /// Returns the shared parts of the prompts of the granted runs that the engine has not
    /// begun to answer.
    pub(super) fn unanswered_prompts(&self) -> Vec<SharedParts> {
        let is_granted =
            |run: &&RunState| matches!(self.scheduler.job(run.job), Some(AnyJob::Running(_)));
        let runs = self.runs.values().filter(is_granted);
        let unanswered = runs.filter(|run| !run.is_answered);
        unanswered.map(|run| run.shared_parts.clone()).collect()
    }

    /// Ends the queued or granted run of a request that its entry has cancelled or can
    /// no longer complete.
    pub(super) fn on_cancel(&mut self, now: Instant, request: RequestId) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        self.request_by_job.remove(&run.job);
        match self.scheduler.job(run.job) {
            Some(AnyJob::Queued(job)) => {
                let waited = now.saturating_duration_since(job.arrived);
                info!(self.context.log, "withdrawn"; "request" => %request,
                    "target" => %job.target, "waited_ms" => waited.as_millis() as u64,
                    "queued" => self.scheduler.queued_len(),
                    "running" => self.scheduler.running_len());
                self.context.metrics.count_admission("withdrawn");
                let actions = self.scheduler.cancel(run.job);
                self.carry_out_actions(now, actions);
            }
            Some(AnyJob::Running(_)) => {
                let actions = self
                    .scheduler
                    .on_run_end(now, run.job, RunOutcome::Finished);
                self.carry_out_actions(now, actions);
            }
            None => {}
        }
    }

    /// Marks the runs of the entry process `boot` as disconnected.
    pub(super) fn mark_runs_disconnected(&mut self, now: Instant, boot: BootId) {
        let runs = self.runs.iter_mut();
        for (_, run) in runs.filter(|(request, _)| request.entry_boot == boot) {
            run.disconnected_at = Some(now);
        }
    }

    /// Ends all runs of the entry process `boot`, which has exited.
    pub(super) fn end_runs_of_boot(&mut self, now: Instant, boot: BootId) {
        let of_boot = self.runs.keys().filter(|r| r.entry_boot == boot);
        let ended_requests: Vec<RequestId> = of_boot.copied().collect();
        ended_requests
            .into_iter()
            .for_each(|request| self.on_cancel(now, request));
    }

    /// Ends the runs whose entries disconnected [`RECONNECT_TIMEOUT`] ago and have
    /// not requested them again.
    pub(super) fn end_disconnected_runs(&mut self, now: Instant) {
        let has_timed_out = |at: Instant| now.saturating_duration_since(at) >= RECONNECT_TIMEOUT;
        let ended_requests: Vec<RequestId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.disconnected_at.is_some_and(has_timed_out))
            .map(|(request, _)| *request)
            .collect();
        ended_requests
            .into_iter()
            .for_each(|request| self.on_cancel(now, request));
    }
}
