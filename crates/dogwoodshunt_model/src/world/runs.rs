//! Runs of the engines, from the grant to the end or until the caller leaves.

use crate::engine::Progress;
use crate::engine::RunId;
use crate::outcome::Counts;
use crate::outcome::LONGEST_PAUSE;
use crate::world::WAY;
use crate::world::World;
use crate::world::event::Event;
use crate::world::target_of;
use dogwoodshunt_residency::job::AnyJob;
use dogwoodshunt_residency::job::RunOutcome;

impl World {
    pub(super) fn on_granted(&mut self, run: RunId, agent: usize) {
        let Some(live) = self.live.get(&run) else {
            // The caller left while the grant was on its way.
            return;
        };
        let target = target_of(&live.request);
        let adapter = target.to_string();
        let (demand, output) = (live.request.demand.clone(), live.request.output);
        let held = &mut self.agents[agent];
        held.engine.submit(run, &adapter, &demand, output);
        if !held.stepping {
            self.step(agent);
        }
    }

    fn step(&mut self, agent: usize) {
        let held = &mut self.agents[agent];
        match held.engine.begin_step() {
            Some(time) => {
                held.stepping = true;
                self.schedule(time, Event::StepOver { agent });
            }
            None => held.stepping = false,
        }
    }

    pub(super) fn on_step_over(&mut self, agent: usize) {
        for progress in self.agents[agent].engine.end_step() {
            match progress {
                Progress::Event(run) => self.on_event(run),
                Progress::Over(run) => self.on_over(run),
            }
        }
        self.step(agent);
    }

    fn on_event(&mut self, run: RunId) {
        let at = self.at;
        let Some(live) = self.live.get_mut(&run) else {
            return;
        };
        if live.first.is_some() {
            live.longest_pause = live.longest_pause.max(at - live.last);
        } else {
            live.first = Some(at - live.request.at);
            self.schedule(WAY * 2, Event::FirstByte { run });
            let deadline = self.classes[self.live[&run].request.class].deadline;
            let leaves = self.live[&run].request.at + deadline;
            self.schedule_at(leaves, Event::Gone { run });
        }
        if let Some(live) = self.live.get_mut(&run) {
            live.last = at;
        }
    }

    fn on_over(&mut self, run: RunId) {
        let Some(live) = self.live.get(&run) else {
            return;
        };
        let class = &self.classes[live.request.class];
        let first_late = live.first.is_none_or(|first| first > class.objective);
        let pause_late = live.longest_pause > LONGEST_PAUSE;
        let counts = &mut self.outcome.classes[live.request.class];
        match (first_late, pause_late) {
            (true, _) => counts.late_first += 1,
            (false, true) => counts.late_pause += 1,
            (false, false) => counts.on_time += 1,
        }
        self.schedule(WAY * 2, Event::RunOver { run });
    }

    pub(super) fn on_first_byte(&mut self, run: RunId) {
        let now = self.now();
        let Some((agent, job)) = self.live.get(&run).and_then(|l| l.agent.zip(l.job)) else {
            return;
        };
        self.agents[agent].scheduler.on_first_byte(now, job);
        self.plan(agent);
    }

    pub(super) fn on_run_over(&mut self, run: RunId) {
        self.release(run);
        self.live.remove(&run);
    }

    /// The caller leaves: without a first event, or at its deadline.
    pub(super) fn on_gone(&mut self, run: RunId) {
        let Some(live) = self.live.get(&run) else {
            return;
        };
        let deadline = self.classes[live.request.class].deadline;
        if live.first.is_some() && self.at < live.request.at + deadline {
            return;
        }
        if let Some(agent) = live.agent {
            self.agents[agent].engine.cancel(run);
        }
        self.end(run, |counts| counts.failed += 1);
    }

    pub(super) fn end(&mut self, run: RunId, count: impl FnOnce(&mut Counts)) {
        self.release(run);
        if let Some(live) = self.live.remove(&run) {
            count(&mut self.outcome.classes[live.request.class]);
        }
    }

    fn release(&mut self, run: RunId) {
        let now = self.now();
        let Some(live) = self.live.get_mut(&run) else {
            return;
        };
        let (Some(agent), Some(job)) = (live.agent.take(), live.job.take()) else {
            return;
        };
        let target = target_of(&live.request);
        let (router, keys) = &mut self.routers[live.entry];
        router.on_attempt_end(keys[agent], &target);
        let held = &mut self.agents[agent];
        held.jobs.remove(&job);
        let actions = match held.scheduler.job(job) {
            Some(AnyJob::Running(_)) => held.scheduler.on_run_end(now, job, RunOutcome::Finished),
            Some(AnyJob::Queued(_)) => held.scheduler.cancel(job),
            None => Vec::new(),
        };
        for action in actions {
            self.carry_out(agent, action);
        }
        self.plan(agent);
    }
}
