//! Releases that the soak test submits, and the check that withdrawn versions
//! stay withdrawn.

use crate::caller::CallerOutcome;
use crate::caller::CallerRequest;
use crate::cluster::Cluster;
use dogwoodshunt_catalogue::ReleaseNote;
use dogwoodshunt_catalogue::admission::Rebase;
use dogwoodshunt_catalogue::release::Withdrawal;
use dogwoodshunt_local::samples;
use dogwoodshunt_operator::messages::ReleaseRequest;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Maximum time from the acceptance of a release note until every entry and
/// agent applies the note.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// Number of withdrawn versions requested in each check, latest first.
const VERSIONS_PER_CHECK: usize = 3;

/// Submits releases and remembers which versions they withdrew.
pub struct ReleaseSubmitter {
    /// Number of accepted release notes.
    pub accepted_count: u32,
    /// Descriptions of requests for withdrawn versions that succeeded.
    pub violations: Vec<String>,
    current_versions: BTreeMap<String, u32>,
    withdrawn: Vec<(String, Instant)>,
    request_count: u32,
}

impl ReleaseSubmitter {
    /// Creates a submitter for adapters whose current version is 1.
    pub fn new(adapters: Vec<String>) -> Self {
        Self {
            accepted_count: 0,
            violations: Vec::new(),
            current_versions: adapters.into_iter().map(|name| (name, 1)).collect(),
            withdrawn: Vec::new(),
            request_count: 0,
        }
    }

    /// Releases the next version of a random adapter and withdraws its current
    /// version, through a random entry.
    pub async fn submit(&mut self, cluster: &Cluster, rng: &mut ChaCha8Rng) {
        let adapter = format!(
            "adapter-{}",
            rng.random_range(0..self.current_versions.len())
        );
        let entry = rng.random_range(0..cluster.entries.len());
        let operator = cluster.operator(entry);
        let Ok(overview) = operator.status().await else {
            return;
        };
        let before = self.current_versions[&adapter];
        let version = before + 1;
        let note = ReleaseNote::builder()
            .id(format!("{adapter}-{version}"))
            .author("soak")
            .based_on(overview.revision)
            .changed(vec![samples::adapter_spec(&adapter, &version.to_string())])
            .withdrawn(vec![Withdrawal {
                adapter: adapter.as_str().into(),
                version: Some(before.to_string().into()),
            }])
            .build();
        let rebase = Rebase::Allowed;
        let Ok(appended) = operator
            .submit_release(&ReleaseRequest { note, rebase })
            .await
        else {
            // Refused, or the outcome is unknown. The version is not advanced, so a
            // later release of this adapter reuses the id.
            return;
        };
        self.current_versions.insert(adapter.clone(), version);
        if appended.replication_status.accepted {
            self.accepted_count += 1;
            self.withdrawn
                .push((format!("{adapter}@{before}"), Instant::now()));
        }
    }

    /// Requests versions whose withdrawal is older than `IN_FORCE_LIMIT` from
    /// every running entry, and records a violation for each that is served.
    pub async fn check_withdrawn(&mut self, cluster: &Cluster) {
        let due = self.withdrawn.iter().rev();
        let due = due.filter(|(_, withdrawn_at)| withdrawn_at.elapsed() >= IN_FORCE_LIMIT);
        let due: Vec<String> = due
            .take(VERSIONS_PER_CHECK)
            .map(|(adapter_version, _)| adapter_version.clone())
            .collect();
        for adapter_version in due {
            for entry in 0..cluster.entries.len() {
                if cluster.entries[entry].process.is_none() {
                    continue;
                }
                self.request_count += 1;
                let request = CallerRequest::for_adapter(
                    format!("withdrawn-{}", self.request_count),
                    &adapter_version,
                );
                let caller = cluster.caller(entry);
                let outcome = caller.send(&request);
                // A frozen entry does not respond; a later check covers it.
                let timeout = async {
                    smol::Timer::after(Duration::from_millis(500)).await;
                    CallerOutcome::Incomplete
                };
                let outcome = smol::future::or(outcome, timeout).await;
                if outcome.is_answered() {
                    let violation =
                        format!("revision_never_reverts: {adapter_version} answered: {outcome:?}");
                    self.violations.push(violation);
                }
            }
        }
    }

    /// Returns whether an entry serves an adapter within 20 attempts.
    pub async fn serves_adapter(&self, cluster: &Cluster) -> bool {
        for n in 0..20 {
            let request = CallerRequest::for_adapter(format!("served-{n}"), "adapter-0");
            if cluster
                .caller(n % cluster.entries.len())
                .send(&request)
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
