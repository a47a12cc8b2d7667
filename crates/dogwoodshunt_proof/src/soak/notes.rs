//! Release notes of a soak, and whether they stay in force.

use crate::caller::Question;
use crate::caller::Told;
use crate::cluster::Cluster;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_catalogue::release::Withdrawal;
use dogwoodshunt_local::samples;
use dogwoodshunt_operator::messages::SubmitRelease;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Time within which an accepted note is in force everywhere.
const LIMIT: Duration = Duration::from_secs(3);

/// Withdrawn versions asked for at each check.
const CHECKED: usize = 3;

/// Release notes of a soak.
pub struct Notes {
    /// Notes accepted.
    pub accepted: u32,
    /// Withdrawn versions that were answered all the same.
    pub violations: Vec<String>,
    versions: BTreeMap<String, u32>,
    withdrawn: Vec<(String, Instant)>,
    asked: u32,
}

impl Notes {
    /// Creates notes about adapters that stand at version 1.
    pub fn new(adapters: Vec<String>) -> Self {
        Self {
            accepted: 0,
            violations: Vec::new(),
            versions: adapters.into_iter().map(|name| (name, 1)).collect(),
            withdrawn: Vec::new(),
            asked: 0,
        }
    }

    /// Moves an adapter to its next version and withdraws the one before,
    /// through a random entry.
    pub async fn submit(&mut self, cluster: &Cluster, rng: &mut ChaCha8Rng) {
        let adapter = format!("adapter-{}", rng.random_range(0..self.versions.len()));
        let entry = rng.random_range(0..cluster.entries.len());
        let operator = cluster.operator(entry);
        let Ok(overview) = operator.status().await else {
            return;
        };
        let before = self.versions[&adapter];
        let version = before + 1;
        let note = ReleaseNote::builder()
            .id(format!("{adapter}-{version}"))
            .author("soak")
            .based_on(overview.revision)
            .changed(vec![samples::spec(&adapter, &version.to_string())])
            .withdrawn(vec![Withdrawal {
                adapter: adapter.as_str().into(),
                version: Some(before.to_string().into()),
            }])
            .build();
        let rebase = Rebase::Allowed;
        let Ok(appended) = operator.submit(&SubmitRelease { note, rebase }).await else {
            // Unsure or refused; the same id is submitted again some time.
            return;
        };
        self.versions.insert(adapter.clone(), version);
        if appended.standing.accepted {
            self.accepted += 1;
            self.withdrawn
                .push((format!("{adapter}@{before}"), Instant::now()));
        }
    }

    /// Asks every entry for versions that were withdrawn long enough ago.
    pub async fn check_withdrawn(&mut self, cluster: &Cluster) {
        let due = self.withdrawn.iter().rev();
        let due = due.filter(|(_, at)| at.elapsed() >= LIMIT);
        let due: Vec<String> = due.take(CHECKED).map(|(what, _)| what.clone()).collect();
        for what in due {
            for entry in 0..cluster.entries.len() {
                if cluster.entries[entry].process.is_none() {
                    continue;
                }
                self.asked += 1;
                let question = Question::adapter(format!("withdrawn-{}", self.asked), &what);
                let caller = cluster.caller(entry);
                let answer = caller.ask(&question);
                // A frozen entry does not answer; it is asked again once it wakes.
                let late = async {
                    smol::Timer::after(Duration::from_millis(500)).await;
                    Told::BrokenOff
                };
                let told = smol::future::or(answer, late).await;
                if told.is_answered() {
                    let violation = format!("revision_never_reverts: {what} answered: {told:?}");
                    self.violations.push(violation);
                }
            }
        }
    }

    /// Returns whether some adapter is served again.
    pub async fn is_served(&self, cluster: &Cluster) -> bool {
        for n in 0..20 {
            let question = Question::adapter(format!("served-{n}"), "adapter-0");
            if cluster
                .caller(n % cluster.entries.len())
                .ask(&question)
                .await
                .is_answered()
            {
                return true;
            }
            smol::Timer::after(Duration::from_millis(200)).await;
        }
        false
    }
}
