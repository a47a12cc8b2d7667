//! Requests that entries have submitted.

use crate::control::Control;
use crate::control::Event;
use crate::control::LinkKey;
use crate::output::Output;
use crate::run::Ended;
use crate::run::Run;
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
use dogwoodshunt_types::Outcome;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Submit;
use slog::error;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// How long a request waits for its entry to connect again.
const RESUME_WINDOW: Duration = Duration::from_secs(10);

/// How long the id of an ended request is remembered; entries resume for less.
const REMEMBERED: Duration = Duration::from_secs(60);

/// How long a request waits for the catalogue that its entry had.
const PARK_LIMIT: Duration = Duration::from_secs(1);

/// Pause that a caller is told while the catalogue is not trusted.
const STALE_RETRY: Duration = Duration::from_secs(1);

/// One request that an entry has submitted.
pub(super) struct RequestState {
    link: LinkKey,
    submit: Arc<Submit>,
    output: Arc<Output>,
    job: Option<JobKey>,
    cancel: Option<Sender<()>>,
    detached: Option<Instant>,
    cancelled: bool,
}

/// Lets a target run while the catalogue is fresh and holds it.
pub(super) struct CatalogueGate<'a> {
    replica: &'a Replica,
    now: Instant,
}

impl<'a> CatalogueGate<'a> {
    pub(super) fn new(replica: &'a Replica, now: Instant) -> Self {
        Self { replica, now }
    }
}

impl AdmissionCheck for CatalogueGate<'_> {
    fn check(&self, target: &Target) -> Result<(), NotRun> {
        if !self.replica.is_fresh(self.now) {
            return Err(NotRun::new(NotRunReason::Stale, STALE_RETRY));
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
        if self.requests.contains_key(&request) || self.ended.contains_key(&request) {
            return;
        }
        if submit.revision > self.replica.catalogue().revision() {
            self.parked.push((now, link, submit));
            return;
        }
        self.admit(now, link, submit);
    }

    fn admit(&mut self, now: Instant, link: LinkKey, submit: Submit) {
        let Some(tx) = self.links.get(link).map(|link| link.tx.clone()) else {
            return;
        };
        let request = submit.request;
        let deadline = submit.time_left.map(|left| now + left);
        let job = Job::new(
            request,
            submit.target.clone(),
            submit.priority,
            now,
            deadline,
        );
        let gate = CatalogueGate::new(&self.replica, now);
        match self.scheduler.submit(now, job, &gate) {
            Ok(key) => {
                self.by_job.insert(key, request);
                self.requests.insert(
                    request,
                    RequestState {
                        link,
                        submit: Arc::new(submit),
                        output: Arc::new(Output::new(request, tx)),
                        job: Some(key),
                        cancel: None,
                        detached: None,
                        cancelled: false,
                    },
                );
            }
            Err(not_run) => self.decline(now, link, request, not_run),
        }
    }

    /// Tells the entry that a request was not run; it stays declined.
    fn decline(&mut self, now: Instant, link: LinkKey, request: RequestId, not_run: NotRun) {
        self.ended.insert(request, now);
        self.send_all(link, [Frame::NotRun { request, not_run }]);
    }

    pub(super) fn retry_parked(&mut self, now: Instant) {
        let held = self.replica.catalogue().revision();
        for (since, link, submit) in std::mem::take(&mut self.parked) {
            if submit.revision <= held {
                self.admit(now, link, submit);
            } else if now.saturating_duration_since(since) >= PARK_LIMIT {
                let not_run = NotRun::new(NotRunReason::Stale, STALE_RETRY);
                self.decline(now, link, submit.request, not_run);
            } else {
                self.parked.push((since, link, submit));
            }
        }
    }

    pub(super) fn on_refused(&mut self, now: Instant, job: JobKey, refused: &Refusal) {
        self.by_job.remove(&job);
        let Some(state) = self.requests.remove(&refused.request) else {
            return;
        };
        let kept = invariant::check(
            Invariant::NotRunMeansNotRun,
            !state.output.has_head(),
            &format_args!("{} was answered before it was refused", refused.request),
        );
        if kept {
            self.decline(now, state.link, refused.request, refused.not_run);
        } else {
            state
                .output
                .fail(Outcome::Unknown, "the agent lost track of the run");
        }
    }

    pub(super) fn start_run(&mut self, job: JobKey, upstream: UpstreamKey) {
        let request = self.by_job.get(&job);
        let state = request.and_then(|request| self.requests.get_mut(request));
        let (Some(state), Some(port)) = (state, self.ports.get(&upstream)) else {
            return;
        };
        let (cancel, cancelled) = async_channel::bounded(1);
        state.cancel = Some(cancel);
        let run = Run {
            client: self.around.client.clone(),
            peer: port.peer.clone(),
            submit: state.submit.clone(),
            output: state.output.clone(),
            cancelled,
        };
        let events = self.around.events.clone();
        let work = async move {
            let ended = run.run().await;
            let event = Event::RunEnded {
                job,
                upstream,
                ended,
            };
            let _ = events.send(event).await;
        };
        self.around.traffic.spawn(work).detach();
    }

    pub(super) fn on_run_ended(
        &mut self,
        now: Instant,
        job: JobKey,
        upstream: UpstreamKey,
        ended: Ended,
    ) {
        if ended.impostor {
            let invariant = Invariant::RanAsNamed;
            error!(self.around.log, "answer under another name"; "invariant" => %invariant);
            self.order(upstream, crate::orders::Order::Probe);
        }
        let actions = self.scheduler.on_run_end(now, job, ended.end);
        if ended.end == RunOutcome::Finished {
            self.finish(now, job);
        }
        self.carry_out(now, actions);
    }

    /// Forgets a request whose job is over and whose answer is delivered.
    fn finish(&mut self, now: Instant, job: JobKey) {
        let Some(request) = self.by_job.remove(&job) else {
            return;
        };
        if let Some(state) = self.requests.get_mut(&request) {
            state.job = None;
            state.cancel = None;
            self.forget_delivered(now, request);
        }
    }

    fn forget_delivered(&mut self, now: Instant, request: RequestId) {
        let delivered = self.requests.get(&request).is_some_and(|state| {
            state.job.is_none() && (state.cancelled || state.output.is_delivered())
        });
        if delivered {
            self.requests.remove(&request);
            self.ended.insert(request, now);
        }
    }

    pub(super) fn on_ack(&mut self, now: Instant, request: RequestId, next: u64) {
        if let Some(state) = self.requests.get(&request) {
            state.output.ack(next);
            self.forget_delivered(now, request);
        }
    }

    pub(super) fn on_cancel(&mut self, now: Instant, request: RequestId) {
        let parked = self
            .parked
            .iter()
            .position(|(_, _, s)| s.request == request);
        if let Some(index) = parked {
            self.parked.swap_remove(index);
            self.ended.insert(request, now);
            return;
        }
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.cancelled = true;
        state.output.give_up();
        let Some(job) = state.job else {
            self.requests.remove(&request);
            self.ended.insert(request, now);
            return;
        };
        let actions = self.scheduler.cancel(job);
        self.carry_out(now, actions);
    }

    pub(super) fn cancel_run(&mut self, job: JobKey) {
        let request = self.by_job.get(&job);
        let state = request.and_then(|request| self.requests.get_mut(request));
        if let Some(state) = state {
            // Dropping the sender stops the run.
            state.cancel = None;
        }
    }

    /// Continues an answer, or says for certain that the request has not run.
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
            state.detached = None;
            state.output.ack(next);
            state.output.resume(tx, next, has_head);
            return;
        }
        if self.ended.contains_key(&request) {
            let failed = Frame::Failed {
                request,
                outcome: Outcome::Unknown,
                message: "the answer is no longer held".into(),
            };
            self.send_all(link, [failed]);
            return;
        }
        // Never received. The older connection is closed, so it never will be.
        let not_run = NotRun::new(NotRunReason::NoUpstream, Duration::ZERO);
        self.decline(now, link, request, not_run);
    }

    pub(super) fn detach_requests(&mut self, now: Instant, link: LinkKey) {
        self.parked.retain(|(_, parked, _)| *parked != link);
        let detached = self.requests.values_mut().filter(|s| s.link == link);
        for state in detached {
            state.detached = Some(now);
            state.output.detach();
        }
    }

    /// Ends requests whose entry has not come back, and forgets old ids.
    pub(super) fn expire_requests(&mut self, now: Instant) {
        self.ended
            .retain(|_, at| now.saturating_duration_since(*at) < REMEMBERED);
        let abandoned: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, state)| {
                let since = state.detached;
                since.is_some_and(|at| now.saturating_duration_since(at) >= RESUME_WINDOW)
            })
            .map(|(request, _)| *request)
            .collect();
        for request in abandoned {
            self.on_cancel(now, request);
        }
    }
}
