//! Execution of requests on engines, from the grant until the response is
//! complete or the caller disconnects.

use crate::engine::Progress;
use crate::engine::SimRequestId;
use crate::outcome::ClassCounts;
use crate::outcome::RequestEnd;
use crate::simulation::LINK_LATENCY;
use crate::simulation::Simulation;
use crate::simulation::event::Event;
use crate::simulation::target_of;
use crate::workload::Request;
use dogwoodshunt_residency::job::AnyJob;
use dogwoodshunt_residency::job::RunOutcome;

impl Simulation {
    pub(super) fn on_granted(&mut self, id: SimRequestId, host_index: usize) {
        let Some(in_flight) = self.in_flight.get(&id) else {
            // The caller disconnected while the grant was on its way.
            return;
        };
        let target = target_of(&in_flight.request);
        let adapter = target.to_string();
        let (demand, output_tokens) = (
            in_flight.request.demand.clone(),
            in_flight.request.output_tokens,
        );
        self.outcome.runs.push((self.elapsed, host_index));
        let host = &mut self.hosts[host_index];
        host.engine.submit(id, &adapter, &demand, output_tokens);
        if !host.step_in_progress {
            self.begin_step(host_index);
        }
    }

    fn begin_step(&mut self, host_index: usize) {
        let host = &mut self.hosts[host_index];
        match host.engine.begin_step() {
            Some(duration) => {
                let duration = duration.mul_f64(host.step_factor(self.elapsed));
                host.step_in_progress = true;
                self.schedule_after(duration, Event::StepFinished { host_index });
            }
            None => host.step_in_progress = false,
        }
    }

    pub(super) fn on_step_finished(&mut self, host_index: usize) {
        for progress in self.hosts[host_index].engine.end_step() {
            match progress {
                Progress::StreamEvent(id) => self.on_stream_event(id),
                Progress::Finished(id) => self.on_engine_finished(id),
            }
        }
        self.begin_step(host_index);
    }

    fn on_stream_event(&mut self, id: SimRequestId) {
        let elapsed = self.elapsed;
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        if in_flight.time_to_first_event.is_some() {
            in_flight.max_event_gap = in_flight
                .max_event_gap
                .max(elapsed - in_flight.last_event_at);
        } else {
            in_flight.time_to_first_event = Some(elapsed - in_flight.request.arrival);
            self.schedule_after(LINK_LATENCY * 2, Event::FirstByte { id });
            let timeout = self.classes[self.in_flight[&id].request.class].response_timeout;
            let expires_at = self.in_flight[&id].request.arrival + timeout;
            self.schedule_at(expires_at, Event::CallerTimeout { id });
        }
        if let Some(in_flight) = self.in_flight.get_mut(&id) {
            in_flight.last_event_at = elapsed;
        }
    }

    fn on_engine_finished(&mut self, id: SimRequestId) {
        let Some(in_flight) = self.in_flight.get(&id) else {
            return;
        };
        let class = &self.classes[in_flight.request.class];
        let first_event_late = in_flight
            .time_to_first_event
            .is_none_or(|time| time > class.latency_objective);
        let event_gap_late = in_flight.max_event_gap > self.config.max_event_gap;
        let (class, arrival) = (in_flight.request.class, in_flight.request.arrival);
        let end = request_end(&in_flight.request, true);
        self.outcome.ends.push(end);
        let counts = self.counts(class, arrival);
        match (first_event_late, event_gap_late) {
            (true, _) => counts.first_event_late += 1,
            (false, true) => counts.event_gap_late += 1,
            (false, false) => counts.on_time += 1,
        }
        self.schedule_after(LINK_LATENCY * 2, Event::RequestFinished { id });
    }

    pub(super) fn on_first_byte(&mut self, id: SimRequestId) {
        let now = self.now();
        let Some((host_index, job)) = self
            .in_flight
            .get(&id)
            .and_then(|in_flight| in_flight.host_index.zip(in_flight.job))
        else {
            return;
        };
        self.hosts[host_index].scheduler.on_first_byte(now, job);
        self.plan(host_index);
    }

    pub(super) fn on_request_finished(&mut self, id: SimRequestId) {
        self.release(id);
        self.in_flight.remove(&id);
    }

    /// Counts the request as failed if the timeout that has expired still
    /// applies: without a first event, or at the response timeout.
    pub(super) fn on_caller_timeout(&mut self, id: SimRequestId) {
        let Some(in_flight) = self.in_flight.get(&id) else {
            return;
        };
        let timeout = self.classes[in_flight.request.class].response_timeout;
        if in_flight.time_to_first_event.is_some()
            && self.elapsed < in_flight.request.arrival + timeout
        {
            return;
        }
        if let Some(host_index) = in_flight.host_index {
            self.hosts[host_index].engine.cancel(id);
        }
        self.finish(id, |counts| counts.failed += 1);
    }

    pub(super) fn refuse(&mut self, id: SimRequestId) {
        let Some(in_flight) = self.in_flight.get(&id) else {
            return;
        };
        let time = self.elapsed - in_flight.request.arrival;
        self.finish(id, |counts| {
            counts.refused += 1;
            counts.slowest_refusal = counts.slowest_refusal.max(time);
        });
    }

    /// Removes a request that got no complete response, and counts it with `count`.
    pub(super) fn finish(&mut self, id: SimRequestId, count: impl FnOnce(&mut ClassCounts)) {
        self.release(id);
        if let Some(in_flight) = self.in_flight.remove(&id) {
            let end = request_end(&in_flight.request, false);
            self.outcome.ends.push(end);
            count(self.counts(in_flight.request.class, in_flight.request.arrival));
        }
    }

    /// Ends the request's attempt in the entry's router and its job in the
    /// agent's residency, if an agent has the request.
    fn release(&mut self, id: SimRequestId) {
        let now = self.now();
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let (Some(host_index), Some(job)) = (in_flight.host_index.take(), in_flight.job.take())
        else {
            return;
        };
        let target = target_of(&in_flight.request);
        let (router, keys) = &mut self.routers[in_flight.entry];
        router.on_attempt_end(keys[host_index], &target);
        let host = &mut self.hosts[host_index];
        host.requests_by_job.remove(&job);
        let actions = match host.scheduler.job(job) {
            Some(AnyJob::Running(_)) => host.scheduler.on_run_end(now, job, RunOutcome::Finished),
            Some(AnyJob::Queued(_)) => host.scheduler.cancel(job),
            None => Vec::new(),
        };
        for action in actions {
            self.execute(host_index, action);
        }
        self.plan(host_index);
    }
}

fn request_end(request: &Request, is_served: bool) -> RequestEnd {
    RequestEnd {
        class: request.class,
        adapter: request.adapter,
        prompt_tokens: request.demand.prompt_tokens,
        is_served,
    }
}
