//! Tests of the decision whether the configuration is known to be recent enough.

use crate::Currency;
use crate::RevocationLimit;
use crate::currency::MAX_CONFIRMATION_WAIT;
use dogwoodshunt_types::BootTime;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const REVOCATION: Duration = Duration::from_secs(5);

/// Greatest age of a proof for [`REVOCATION`].
const MAX_AGE_MS: u64 = 4_500;

fn at(millis: u64) -> BootTime {
    BootTime::new(Duration::from_millis(millis))
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the knowledge of an entry that holds revision 1 of era 1 and has no proof.
fn currency() -> Currency {
    let mut currency = Currency::new(Some(RevocationLimit::new(REVOCATION)), at(0));
    currency.on_config_read(1, 1);
    currency
}

/// Guards against a proof that counts from the arrival of its answer, and against one that never
/// ends.
#[test]
fn proof_counts_from_the_time_at_which_its_request_was_sent() {
    let mut currency = currency();
    assert!(currency.check_run(at(1)).is_err());
    // The answer arrives 3 s after its request.
    currency.on_answer(at(1_000), 1);
    assert!(currency.check_run(at(4_000)).is_ok());
    assert!(currency.check_run(at(1_000 + MAX_AGE_MS)).is_ok());
    assert!(currency.check_run(at(1_001 + MAX_AGE_MS)).is_err());
}

/// Guards against answers that arrive in another order than their requests were sent.
#[test]
fn answer_to_an_earlier_request_does_not_shorten_a_proof() {
    let mut currency = currency();
    currency.on_answer(at(3_000), 1);
    currency.on_answer(at(1_000), 1);
    assert_eq!(currency.proof_age(at(3_500)), Some(ms(500)));
}

/// Guards against requests that are refused although nothing limits the age of the configuration.
#[test]
fn without_a_limit_requests_run_without_proof() {
    let currency = Currency::new(None, at(0));
    assert!(currency.check_run(at(1_000_000)).is_ok());
    assert_eq!(currency.extra_request_due_in(at(1_000_000)), None);
}

/// Guards against an older configuration of a restored store as proof for the newer one that the
/// process holds.
#[test]
fn answers_of_a_restored_store_prove_nothing_until_it_has_the_held_revision() {
    let mut currency = currency();
    currency.on_config_read(1, 5);
    currency.on_answer(at(1_000), 1);
    // The store was restored from a copy with revision 4.
    currency.on_config_read(2, 4);
    currency.on_answer(at(2_000), 2);
    assert_eq!(currency.proof_age(at(2_000)), Some(ms(1_000)));
    // Operators write revision 5 again.
    currency.on_config_read(2, 5);
    currency.on_answer(at(3_000), 2);
    assert_eq!(currency.proof_age(at(3_000)), Some(ms(0)));
    // An answer of the era before the restore.
    currency.on_answer(at(3_500), 1);
    assert_eq!(currency.proof_age(at(3_500)), Some(ms(500)));
}

/// Guards against proofs of a configuration that was never read, as from an empty store.
#[test]
fn answer_proves_nothing_before_a_configuration_was_read() {
    let mut currency = Currency::new(Some(RevocationLimit::new(REVOCATION)), at(0));
    currency.on_answer(at(10), 1);
    assert_eq!(currency.proof_age(at(10)), None);
    assert!(!currency.proves(at(5)));
}

/// Guards against a false 401: a proof that is older than the request.
#[test]
fn unknown_key_needs_a_proof_as_of_its_arrival() {
    let mut currency = currency();
    currency.on_answer(at(1_000), 1);
    assert!(currency.proves(at(1_000)));
    assert!(!currency.proves(at(1_001)));
}

/// Guards against a proof that lapses in ordinary operation, and against extra requests then.
#[rstest]
#[case(1_000)]
#[case(5_000)]
#[case(60_000)]
fn watch_alone_keeps_the_proof(#[case] revocation_ms: u64) {
    let limit = RevocationLimit::new(ms(revocation_ms));
    let wait = limit.max_watch_wait();
    assert!(wait < ms(revocation_ms).mul_f64(0.3));
    let mut currency = Currency::new(Some(limit), at(0));
    currency.on_config_read(1, 1);
    currency.on_answer(at(0), 1);
    // Just before the answer to the second watch arrives, a tenth of the wait late.
    let now = at(0) + wait.mul_f64(2.1);
    // At 1 s, the margin for opening a connection leaves half of the time.
    let is_short = revocation_ms < 5_000;
    assert_eq!(currency.check_run(now).is_ok(), !is_short);
    let due_in = currency.extra_request_due_in(now);
    assert_eq!(due_in > Some(Duration::ZERO), !is_short, "{due_in:?}");
}

/// Guards against an entry that stops serving since a store takes 2 s for each answer.
#[test]
fn extra_requests_keep_the_proof_while_the_store_is_slow() {
    let mut currency = currency();
    currency.on_answer(at(0), 1);
    let mut answers: Vec<(u64, u64)> = Vec::new();
    let mut sent = 0;
    for now in (0..60_000).step_by(10) {
        while let Some(index) = answers.iter().position(|(arrives, _)| *arrives <= now) {
            let (_, sent_at) = answers.remove(index);
            currency.on_answer(at(sent_at), 1);
        }
        if currency.extra_request_due_in(at(now)) == Some(Duration::ZERO) {
            currency.on_extra_request(at(now));
            answers.push((now + 1_200, now));
            sent += 1;
        }
        assert!(currency.check_run(at(now)).is_ok(), "no proof at {now} ms");
    }
    assert!(sent <= 120, "{sent} extra requests in 60 s");
}

/// Guards against a request to the store for each of many unknown keys.
#[test]
fn confirmations_are_shared_and_limited_to_five_a_second() {
    let mut currency = Currency::new(None, at(0));
    currency.on_config_read(1, 1);
    let mut sent = 0;
    for now in 0..10_000 {
        currency.want_confirmation(at(now));
        if currency.extra_request_due_in(at(now)) == Some(Duration::ZERO) {
            currency.on_extra_request(at(now));
            currency.on_answer(at(now), 1);
            sent += 1;
        }
    }
    assert!((45..=51).contains(&sent), "{sent} requests in 10 s");
}

/// Guards against a lost answer that leaves the waiting requests unconfirmed.
#[test]
fn confirmation_is_asked_for_again_until_nobody_waits() {
    let mut currency = Currency::new(None, at(0));
    currency.on_config_read(1, 1);
    currency.want_confirmation(at(1_000));
    assert_eq!(currency.extra_request_due_in(at(1_000)), Some(ms(0)));
    currency.on_extra_request(at(1_000));
    assert_eq!(currency.extra_request_due_in(at(1_000)), Some(ms(500)));
    let given_up = at(1_000) + MAX_CONFIRMATION_WAIT;
    assert_eq!(currency.extra_request_due_in(given_up), None);
}

/// Guards against a retry delay of zero, and one that grows without bound.
#[test]
fn retry_delay_grows_with_the_outage() {
    let mut currency = currency();
    currency.on_answer(at(0), 1);
    let delay = |now| currency.check_run(at(now)).unwrap_err();
    assert_eq!(delay(MAX_AGE_MS + 1), ms(500));
    assert_eq!(delay(MAX_AGE_MS + 1_300), ms(1_300));
    assert_eq!(delay(MAX_AGE_MS + 60_000), ms(2_000));
}

/// What happens to an entry and its store.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes; the entry sends requests when they are due unless it stands still.
    Run(u64),
    /// The entry stands still.
    Pause(u64),
    /// Operators write a configuration that takes the key away, or gives it back.
    Write(bool),
    /// From now on, requests take this time to the store and as long back; `None` if they are lost.
    Link(Option<u64>),
    /// The entry restarts and has no configuration.
    Restart,
    /// The store takes a copy of its configuration.
    Copy,
    /// The store is restored from its copy, and operators write the newest configuration again.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1_u64..4_000).prop_map(Step::Run),
        1 => (1_u64..20_000).prop_map(Step::Pause),
        3 => any::<bool>().prop_map(Step::Write),
        2 => prop_oneof![Just(None), (0_u64..3_000).prop_map(Some)].prop_map(Step::Link),
        1 => Just(Step::Restart),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
    ]
}

/// Configuration: its revision, and whether it contains the key.
type Stored = (u64, bool);

/// Request to the store that is under way.
struct UnderWay {
    sent_at: u64,
    /// When the store reads it.
    read_at: u64,
    /// When the answer arrives, with what the store contained.
    arrives_at: u64,
    answer: Option<(u32, Stored)>,
}

/// An entry, its store and the link between them, in steps of 10 ms.
struct World {
    now: u64,
    store: Stored,
    era: u32,
    copy: Stored,
    /// When the store acknowledged the newest configuration without the key; `None` if the newest
    /// one contains it.
    revoked_at: Option<u64>,
    link: Option<u64>,
    under_way: Vec<UnderWay>,
    next_watch_at: u64,
    held: Option<Stored>,
    currency: Currency,
}

impl World {
    fn new() -> Self {
        Self {
            now: 0,
            store: (1, true),
            era: 1,
            copy: (1, true),
            revoked_at: None,
            link: Some(1),
            under_way: Vec::new(),
            next_watch_at: 0,
            held: None,
            currency: Currency::new(Some(RevocationLimit::new(REVOCATION)), at(0)),
        }
    }

    fn write(&mut self, has_key: bool) {
        self.store = (self.store.0 + 1, has_key);
        if has_key {
            self.revoked_at = None;
        } else if self.revoked_at.is_none() {
            self.revoked_at = Some(self.now);
        }
    }

    fn send(&mut self) {
        if let Some(delay) = self.link {
            self.under_way.push(UnderWay {
                sent_at: self.now,
                read_at: self.now + delay,
                arrives_at: self.now + 2 * delay,
                answer: None,
            });
        }
    }

    /// Lets the store read the requests that have reached it.
    fn serve_store(&mut self) {
        for request in &mut self.under_way {
            if request.answer.is_none() && request.read_at <= self.now {
                request.answer = Some((self.era, self.store));
            }
        }
    }

    /// Lets the entry apply the answers that have arrived and send the requests that are due.
    fn run_entry(&mut self) {
        let now = self.now;
        let (arrived, under_way): (Vec<_>, Vec<_>) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|request| request.answer.is_some() && request.arrives_at <= now);
        self.under_way = under_way;
        for request in arrived {
            let (era, stored) = request.answer.unwrap();
            if self.held.is_none_or(|held| held.0 < stored.0) {
                self.held = Some(stored);
            }
            self.currency.on_config_read(era, stored.0);
            self.currency.on_answer(at(request.sent_at), era);
        }
        if self.next_watch_at <= now {
            self.next_watch_at = now + 1_250;
            self.send();
        }
        if self.currency.extra_request_due_in(at(now)) == Some(Duration::ZERO) {
            self.currency.on_extra_request(at(now));
            self.send();
        }
    }

    /// Checks a request that is sent now.
    fn check(&self) -> Result<(), TestCaseError> {
        let runs = self.held.is_some_and(|(_, has_key)| has_key)
            && self.currency.check_run(at(self.now)).is_ok();
        let age = self.revoked_at.map(|at| self.now - at);
        prop_assert!(
            !runs || age.is_none_or(|age| u128::from(age) <= REVOCATION.as_millis()),
            "ran {age:?} ms after the acknowledgement"
        );
        // A key that the store has contained at all times since the request arrived.
        let refuses = self.held.is_some_and(|(_, has_key)| !has_key);
        prop_assert!(
            !(refuses && self.revoked_at.is_none() && self.currency.proves(at(self.now))),
            "refused a key that is in force"
        );
        Ok(())
    }

    fn pass(&mut self, millis: u64, is_running: bool) -> Result<(), TestCaseError> {
        for _ in 0..millis.div_ceil(10) {
            self.now += 10;
            self.serve_store();
            if is_running {
                self.run_entry();
                self.check()?;
            }
        }
        Ok(())
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Run(millis) => self.pass(*millis, true)?,
            Step::Pause(millis) => self.pass(*millis, false)?,
            Step::Write(has_key) => self.write(*has_key),
            Step::Link(delay) => self.link = *delay,
            Step::Restart => {
                self.held = None;
                self.under_way.clear();
                self.next_watch_at = self.now;
                let limit = RevocationLimit::new(REVOCATION);
                self.currency = Currency::new(Some(limit), at(self.now));
            }
            Step::Copy => self.copy = self.store,
            Step::Restore => {
                let newest = self.store;
                self.store = self.copy;
                self.era += 1;
                // Operators notice the restore at once and write the newest configuration again;
                // the entry may have read the copy between.
                self.serve_store();
                self.store = newest;
                // An entry that had not received the newest configuration cannot tell that the copy
                // lacks it. For this entry, the bound counts from when it is written again.
                if self.held.is_none_or(|held| held.0 < newest.0) {
                    self.revoked_at = self.revoked_at.map(|_| self.now);
                }
            }
        }
        // A resumed process serves requests before it has read what arrived meanwhile.
        self.check()
    }
}

proptest! {
    /// Guards against a request that runs later than the revocation time after the
    /// acknowledgement, under lost, late and slow answers, pauses, restarts and restores.
    #[test]
    fn no_request_runs_after_the_revocation_time(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut world = World::new();
        for step in &steps {
            world.apply(step)?;
        }
    }
}
