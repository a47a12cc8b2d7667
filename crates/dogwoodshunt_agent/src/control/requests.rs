//! Requests that entries have submitted: admission, runs, cancellation and resumption.

use crate::control::Control;
use crate::control::ControlEvent;
use crate::control::LinkKey;
use crate::response_buffer::ResponseBuffer;
use crate::run::Run;
use crate::run::RunResult;
use async_channel::Sender;
use dogwoodshunt_catalogue::ResolveError;
use dogwoodshunt_replica::Replica;
use dogwoodshunt_residency::AdmissionCheck;
use dogwoodshunt_residency::JobKey;
use dogwoodshunt_residency::Target;
use dogwoodshunt_residency::UpstreamKey;
use dogwoodshunt_residency::job::Job;
use dogwoodshunt_residency::job::Refusal;
use dogwoodshunt_residency::job::RunOutcome;
use dogwoodshunt_types::NotRun;
use dogwoodshunt_types::NotRunReason;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::RequestOutcome;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Submit;
use slog::error;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Time after which a request whose entry has not reconnected is cancelled.
const RESUME_WINDOW: Duration = Duration::from_secs(10);

/// Retention of the ids of ended requests. Longer than an entry tries to resume a
/// request, so that a request which has run is never reported as not run.
const ENDED_REQUEST_RETENTION: Duration = Duration::from_secs(60);

/// Maximum time that a request waits until this agent has the catalogue revision
/// that the entry resolved the request with.
const MAX_CATALOGUE_WAIT: Duration = Duration::from_secs(1);

/// Retry delay of requests refused because the catalogue is stale.
const STALE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Request that an entry has submitted.
pub(super) struct RequestState {
    link: LinkKey,
    submit: Arc<Submit>,
    response_buffer: Arc<ResponseBuffer>,
    /// Job of the request; `None` once its run has finished.
    job: Option<JobKey>,
    /// Dropped to cancel the run.
    cancel_tx: Option<Sender<()>>,
    /// Time at which the connection was lost; `None` while connected.
    detached_since: Option<Instant>,
    cancelled: bool,
}

/// Admits targets while the catalogue is fresh, and adapters only in versions that
/// the catalogue contains.
pub(super) struct CatalogueCheck<'a> {
    replica: &'a Replica,
    now: Instant,
}

impl<'a> CatalogueCheck<'a> {
    pub(super) fn new(replica: &'a Replica, now: Instant) -> Self {
        Self { replica, now }
    }
}

impl AdmissionCheck for CatalogueCheck<'_> {
    fn check(&self, target: &Target) -> Result<(), NotRun> {
        if !self.replica.is_fresh(self.now) {
            return Err(NotRun::new(NotRunReason::Stale, STALE_RETRY_DELAY));
        }
        let Target::Adapter { adapter, .. } = target else {
            return Ok(());
        };
        let catalogue = self.replica.catalogue();
        match catalogue.resolve(&adapter.name, Some(&adapter.version)) {
            Ok(_) => Ok(()),
            Err(ResolveError::Unknown | ResolveError::Withdrawn) => {
                Err(NotRun::new(NotRunReason::Withdrawn, Duration::ZERO))
            }
        }
    }
}

impl Control {
    pub(super) fn on_submit(&mut self, now: Instant, link: LinkKey, submit: Submit) {
        let request = submit.request;
        if self.requests.contains_key(&request) || self.ended_requests.contains_key(&request) {
            return;
        }
        if submit.revision > self.replica.catalogue().revision() {
            self.deferred_submits.push((now, link, submit));
            return;
        }
        self.admit(now, link, submit);
    }

    fn admit(&mut self, now: Instant, link: LinkKey, submit: Submit) {
        let Some(tx) = self.links.get(link).map(|link| link.tx.clone()) else {
            return;
        };
        let request = submit.request;
        let deadline = submit.time_left.map(|time_left| now + time_left);
        let job = Job::new(
            request,
            submit.target.clone(),
            submit.priority,
            now,
            deadline,
        );
        let admission_check = CatalogueCheck::new(&self.replica, now);
        match self.scheduler.submit(now, job, &admission_check) {
            Ok(job) => {
                self.requests_by_job.insert(job, request);
                self.requests.insert(
                    request,
                    RequestState {
                        link,
                        submit: Arc::new(submit),
                        response_buffer: Arc::new(ResponseBuffer::new(request, tx)),
                        job: Some(job),
                        cancel_tx: None,
                        detached_since: None,
                        cancelled: false,
                    },
                );
            }
            Err(not_run) => self.reply_not_run(now, link, request, not_run),
        }
    }

    /// Replies that a request was not run. Recording its id as ended ensures that it
    /// never runs later.
    fn reply_not_run(&mut self, now: Instant, link: LinkKey, request: RequestId, not_run: NotRun) {
        self.ended_requests.insert(request, now);
        self.send_frames(link, [Frame::NotRun { request, not_run }]);
    }

    pub(super) fn admit_deferred(&mut self, now: Instant) {
        let local_revision = self.replica.catalogue().revision();
        for (since, link, submit) in std::mem::take(&mut self.deferred_submits) {
            if submit.revision <= local_revision {
                self.admit(now, link, submit);
            } else if now.saturating_duration_since(since) >= MAX_CATALOGUE_WAIT {
                let not_run = NotRun::new(NotRunReason::Stale, STALE_RETRY_DELAY);
                self.reply_not_run(now, link, submit.request, not_run);
            } else {
                self.deferred_submits.push((since, link, submit));
            }
        }
    }

    pub(super) fn on_job_refused(&mut self, now: Instant, job: JobKey, refusal: &Refusal) {
        self.requests_by_job.remove(&job);
        let Some(state) = self.requests.remove(&refusal.request) else {
            return;
        };
        let has_not_run = invariant::check(
            Invariant::NotRunMeansNotRun,
            !state.response_buffer.has_head(),
            &format_args!("{} had a response before it was refused", refusal.request),
        );
        if has_not_run {
            self.reply_not_run(now, state.link, refusal.request, refusal.not_run);
        } else {
            state.response_buffer.fail(
                RequestOutcome::Unknown,
                "scheduler refused a request that had already run",
            );
        }
    }

    pub(super) fn start_run(&mut self, job: JobKey, upstream: UpstreamKey) {
        let request = self.requests_by_job.get(&job);
        let state = request.and_then(|request| self.requests.get_mut(request));
        let (Some(state), Some(handle)) = (state, self.upstream_handles.get(&upstream)) else {
            return;
        };
        let known = self.scheduler.upstream(upstream);
        let (cancel_tx, cancel_rx) = async_channel::bounded(1);
        state.cancel_tx = Some(cancel_tx);
        let run = Run {
            client: self.context.client.clone(),
            address: handle.address.clone(),
            submit: state.submit.clone(),
            response_buffer: state.response_buffer.clone(),
            cancel_rx,
            upstream,
            rate_limited: known.is_some_and(|known| known.rate_limit.is_some()),
            events_tx: self.context.events_tx.clone(),
        };
        let events_tx = self.context.events_tx.clone();
        let run_task = async move {
            let result = run.run().await;
            let event = ControlEvent::RunEnded {
                job,
                upstream,
                result,
            };
            let _ = events_tx.send(event).await;
        };
        self.context.traffic.spawn(run_task).detach();
    }

    pub(super) fn on_run_ended(
        &mut self,
        now: Instant,
        job: JobKey,
        upstream: UpstreamKey,
        result: RunResult,
    ) {
        if result.target_mismatch {
            let invariant = Invariant::RanAsNamed;
            error!(self.context.log, "response names another model than requested";
                "invariant" => %invariant);
            self.send_command(upstream, crate::upstream_worker::UpstreamCommand::Probe);
        }
        let actions = self.scheduler.on_run_end(now, job, result.outcome);
        if result.outcome == RunOutcome::Finished {
            self.finish_job(now, job);
        }
        self.execute(now, actions);
    }

    /// Detaches a finished job from its request, and removes the request if its response
    /// has been delivered or cancelled.
    fn finish_job(&mut self, now: Instant, job: JobKey) {
        let Some(request) = self.requests_by_job.remove(&job) else {
            return;
        };
        if let Some(state) = self.requests.get_mut(&request) {
            state.job = None;
            state.cancel_tx = None;
            self.remove_if_finished(now, request);
        }
    }

    /// Removes a request whose run has ended and whose response has been delivered or
    /// cancelled. Retains its id as ended.
    fn remove_if_finished(&mut self, now: Instant, request: RequestId) {
        let is_finished = self.requests.get(&request).is_some_and(|state| {
            state.job.is_none() && (state.cancelled || state.response_buffer.is_delivered())
        });
        if is_finished {
            self.requests.remove(&request);
            self.ended_requests.insert(request, now);
        }
    }

    pub(super) fn on_ack(&mut self, now: Instant, request: RequestId, next: u64) {
        if let Some(state) = self.requests.get(&request) {
            state.response_buffer.acknowledge(next);
            self.remove_if_finished(now, request);
        }
    }

    pub(super) fn on_cancel(&mut self, now: Instant, request: RequestId) {
        let deferred_index = self
            .deferred_submits
            .iter()
            .position(|(_, _, submit)| submit.request == request);
        if let Some(index) = deferred_index {
            self.deferred_submits.swap_remove(index);
            self.ended_requests.insert(request, now);
            return;
        }
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.cancelled = true;
        state.response_buffer.cancel();
        let Some(job) = state.job else {
            self.requests.remove(&request);
            self.ended_requests.insert(request, now);
            return;
        };
        let actions = self.scheduler.cancel(job);
        self.execute(now, actions);
    }

    pub(super) fn cancel_run(&mut self, job: JobKey) {
        let request = self.requests_by_job.get(&job);
        let state = request.and_then(|request| self.requests.get_mut(request));
        if let Some(state) = state {
            // Dropping the sender cancels the run.
            state.cancel_tx = None;
        }
    }

    /// Resumes a response, or replies that the request was not run if it never arrived.
    pub(super) fn on_resume(
        &mut self,
        now: Instant,
        link: LinkKey,
        request: RequestId,
        next: u64,
        has_head: bool,
    ) {
        let Some(tx) = self.links.get(link).map(|link| link.tx.clone()) else {
            return;
        };
        if let Some(state) = self.requests.get_mut(&request) {
            state.link = link;
            state.detached_since = None;
            state.response_buffer.acknowledge(next);
            state.response_buffer.resume(tx, next, has_head);
            return;
        }
        if self.ended_requests.contains_key(&request) {
            let failed = Frame::Failed {
                request,
                outcome: RequestOutcome::Unknown,
                message: "response is no longer stored".into(),
            };
            self.send_frames(link, [failed]);
            return;
        }
        // The request was never received. It cannot arrive any more, since frames of the
        // earlier connection are ignored.
        let not_run = NotRun::new(NotRunReason::NoUpstream, Duration::ZERO);
        self.reply_not_run(now, link, request, not_run);
    }

    pub(super) fn detach_requests(&mut self, now: Instant, link: LinkKey) {
        self.deferred_submits
            .retain(|(_, submit_link, _)| *submit_link != link);
        let detached = self
            .requests
            .values_mut()
            .filter(|state| state.link == link);
        for state in detached {
            state.detached_since = Some(now);
            state.response_buffer.detach();
        }
    }

    /// Cancels requests whose entry has not reconnected in time, and drops ids of ended
    /// requests after their retention.
    pub(super) fn expire_requests(&mut self, now: Instant) {
        self.ended_requests
            .retain(|_, at| now.saturating_duration_since(*at) < ENDED_REQUEST_RETENTION);
        let abandoned: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, state)| {
                let since = state.detached_since;
                since.is_some_and(|at| now.saturating_duration_since(at) >= RESUME_WINDOW)
            })
            .map(|(request, _)| *request)
            .collect();
        for request in abandoned {
            self.on_cancel(now, request);
        }
    }
}
