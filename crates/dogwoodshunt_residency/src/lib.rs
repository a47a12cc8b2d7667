//! Scheduler of an agent: queues requests, dispatches them to upstreams, and
//! loads and evicts adapters.
//!
//! [`Scheduler`] holds the state of one agent's upstreams and of the jobs that
//! entries have submitted. Its methods take events with the current time and
//! return [`Action`]s for the agent to carry out. The scheduler decides which job
//! runs next and on which upstream, which adapter is loaded where, which adapter is
//! evicted, and which jobs are refused. The scheduler never evicts an adapter that
//! a run uses, and dispatches a job again only after an upstream has declined the
//! job or could not be reached.
//!
//! A *job* is a request that an entry has submitted to the agent, and a *run* is the
//! execution of a job on an upstream. An *order* is a command to an upstream to load
//! or unload an adapter or to load its base model. A *grant* is a permission to
//! load an adapter, issued by the *granter*, the entry that limits the loads of the
//! whole fleet from the weight store. A resident adapter is *pinned* while runs use
//! the adapter, and a *draining* adapter accepts no new requests, so that it is
//! unloaded when its last run ends. A *leaving* agent or upstream accepts no new jobs
//! and finishes its runs.
//!
//! The crate does no I/O, reads no clock and takes no lock.
//!
//! Read [`job`], [`demand`] and [`upstream`] for the state, [`scheduler`] and
//! [`orders`] for the events, then [`plan`], [`prefill_pacing`] and `loads` for the decisions, and
//! [`report`] with `reporting` for the load reports to entries. [`load_budget`], [`load_window`],
//! [`popularity`], [`prefill_rate`] and [`prefix_index`] hold the estimates and
//! limits that the decisions use. [`fair_share`] divides the capacity among workspaces, and
//! `shortage` refuses what cannot be served in time.

pub mod action;
pub mod demand;
pub mod fair_share;
pub mod job;
pub mod load_budget;
pub mod load_window;
mod loads;
pub mod orders;
pub mod plan;
pub mod popularity;
pub mod prefill_pacing;
pub mod prefill_rate;
pub mod prefix_index;
pub mod report;
mod reporting;
pub mod scheduler;
pub mod settings;
mod shortage;
pub mod upstream;

#[cfg(test)]
mod tests;

pub use crate::action::Action;
pub use crate::demand::Demand;
pub use crate::fair_share::FairShare;
pub use crate::job::JobKey;
pub use crate::job::Target;
pub use crate::plan::AdmissionCheck;
pub use crate::prefix_index::PrefixIndex;
pub use crate::report::PendingLoad;
pub use crate::report::Report;
pub use crate::scheduler::Scheduler;
pub use crate::settings::SchedulerSettings;
pub use crate::upstream::UpstreamKey;
