//! Quotas over several proxies: what all of them admit together, and that an account gets what it is
//! allowed wherever its callers connect.

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_engine::{
    account::{Account, Directory, Limit},
    ownership::Peer,
    quota::{Batch, Decision, Ledger, Loans, Permits, Tolerance},
    time::Moment,
};
use proptest::prelude::*;

const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    excess: 0.0,
    margin: 6.0,
};

const STEP: Duration = Duration::from_millis(20);

fn account() -> Account {
    Account {
        name: "pharmacy".to_owned(),
        limit: Limit {
            rate: 40.0,
            burst: 40.0,
        },
    }
}

fn peers(count: usize) -> Vec<Peer> {
    let peer = |index: usize| Peer {
        id: format!("proxy-{index}"),
        dc: "dc-1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16)),
        capacity: 1.0,
    };
    (0..count).map(peer).collect()
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.insert(account(), []);
    directory
}

/// A ledger of a process that started at `started_at`, and knows all proxies at `now`.
fn ledger(index: usize, count: usize, started_at: Moment, now: Moment) -> Ledger {
    let mut ledger = Ledger::new(&format!("proxy-{index}"), TOLERANCE, started_at);
    ledger.configure(&directory(), now);
    ledger.set_peers(&peers(count));
    ledger.set_members(Some(count), now);
    ledger
}

/// A deterministic sequence of numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// A safeguard that is left out, to see that the model finds its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Missing {
    Nothing,
    /// A restarted process issues permits at once, although its rights may still be lent.
    RestartDelay,
    /// A loan counts from the arrival of the answer instead of the request.
    TermFromRequest,
    /// A draw's permits count as new when they arrive.
    IssueTime,
}

/// What is on its way between proxies.
enum Message {
    Loans { asked: Moment, loans: Loans },
    Granted { asked: Moment, ages: Vec<Batch> },
}

struct Delivery {
    at: Moment,
    from: usize,
    to: usize,
    message: Message,
}

/// How often faults occur in a run, in percent of the steps or messages.
struct Faults {
    cut: u64,
    freeze: u64,
    restart: u64,
    late_loans: u64,
    late_grants: u64,
}

impl Faults {
    fn draw(random: &mut Random) -> Self {
        let mut one_of = |choices: [u64; 3]| choices[random.below(3) as usize];
        Self {
            cut: one_of([0, 1, 3]),
            freeze: one_of([0, 0, 1]),
            restart: one_of([0, 0, 6]),
            late_loans: one_of([0, 0, 20]),
            late_grants: one_of([0, 10, 100]),
        }
    }
}

/// Proxies that exchange permits while callers press, some of them restarted, cut off and frozen.
struct Model {
    random: Random,
    faults: Faults,
    missing: Missing,
    now: Moment,
    ledgers: Vec<Ledger>,
    /// Until when each proxy is cut off from the others, and frozen.
    cut_until: Vec<Moment>,
    frozen_until: Vec<Moment>,
    on_the_way: Vec<Delivery>,
    admitted: Vec<Moment>,
}

impl Model {
    const PROXIES: usize = 3;

    fn new(seed: u64, missing: Missing) -> Self {
        let now = Moment::from_boot(Duration::from_secs(100));
        let started_at = now - Duration::from_secs(10);
        let ledgers = (0..Self::PROXIES).map(|index| ledger(index, Self::PROXIES, started_at, now));
        let mut random = Random(seed | 1);
        Self {
            faults: Faults::draw(&mut random),
            random,
            missing,
            now,
            ledgers: ledgers.collect(),
            cut_until: vec![now; Self::PROXIES],
            frozen_until: vec![now; Self::PROXIES],
            on_the_way: Vec::new(),
            admitted: Vec::new(),
        }
    }

    /// Runs for `length`; returns the most operations that were admitted in one window.
    fn run(mut self, length: Duration) -> usize {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.disturb();
            self.deliver();
            for index in 0..Self::PROXIES {
                if self.frozen_until[index] <= self.now {
                    self.act(index);
                }
            }
        }
        let mut oldest = 0;
        let mut most = 0;
        for (index, at) in self.admitted.iter().enumerate() {
            while at.since(self.admitted[oldest]) >= TOLERANCE.window {
                oldest += 1;
            }
            most = most.max(index + 1 - oldest);
        }
        most
    }

    fn disturb(&mut self) {
        let index = self.random.below(Self::PROXIES as u64) as usize;
        let until = self.now + Duration::from_millis(self.random.below(6_000));
        if self.random.chance(self.faults.cut) {
            self.cut_until[index] = until;
        }
        if self.random.chance(self.faults.freeze) {
            self.frozen_until[index] = until;
        }
        if self.random.chance(self.faults.restart) {
            let started_at = match self.missing {
                Missing::RestartDelay => self.now - Duration::from_secs(10),
                _ => self.now,
            };
            self.ledgers[index] = ledger(index, Self::PROXIES, started_at, self.now);
            self.on_the_way.retain(|delivery| delivery.to != index);
        }
    }

    fn deliver(&mut self) {
        let due = |delivery: &Delivery, model: &Self| {
            let awake = model.frozen_until[delivery.to] <= model.now;
            let connected = model.connected(delivery.from, delivery.to);
            delivery.at <= model.now && awake && connected
        };
        let on_the_way = std::mem::take(&mut self.on_the_way);
        for delivery in on_the_way {
            if !due(&delivery, self) {
                self.on_the_way.push(delivery);
                continue;
            }
            self.receive(delivery);
        }
    }

    fn receive(&mut self, delivery: Delivery) {
        let Delivery { from, to, .. } = delivery;
        let now = self.now;
        let ledger = &mut self.ledgers[to];
        match delivery.message {
            Message::Loans { asked, loans } => {
                let asked = match self.missing {
                    Missing::TermFromRequest => now,
                    _ => asked,
                };
                ledger.accept(&format!("proxy-{from}"), &loans, asked, now);
            }
            Message::Granted { asked, ages } => {
                let restamp = |batch: Batch| match self.missing {
                    Missing::IssueTime => Batch {
                        issued: now,
                        ..batch
                    },
                    _ => Batch {
                        issued: batch.issued.min(asked),
                        ..batch
                    },
                };
                let batches: Vec<Batch> = ages.into_iter().map(restamp).collect();
                ledger.credit("pharmacy", &batches);
            }
        }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        self.cut_until[a] <= self.now && self.cut_until[b] <= self.now
    }

    fn act(&mut self, index: usize) {
        let now = self.now;
        self.ledgers[index].set_peers(&peers(Self::PROXIES));
        self.ledgers[index].set_members(Some(Self::PROXIES), now);
        if self.ledgers[index].is_collector() && self.random.chance(4) {
            self.collect(index);
        }
        for _ in 0..self.random.below(4) {
            match self.ledgers[index].admit(&account(), now) {
                Decision::Admitted { .. } => self.admitted.push(now),
                Decision::Draw { amount } => self.draw(index, amount),
                Decision::Refused { .. } => {}
            }
        }
    }

    fn collect(&mut self, collector: usize) {
        for lender in 0..Self::PROXIES {
            let awake = self.frozen_until[lender] <= self.now;
            if lender == collector || !awake || !self.connected(collector, lender) {
                continue;
            }
            let asked = self.now;
            let loans = self.ledgers[lender].lend(&format!("proxy-{collector}"), self.now);
            self.send(lender, collector, Message::Loans { asked, loans });
        }
    }

    fn draw(&mut self, index: usize, amount: f64) {
        let own = format!("proxy-{index}");
        let sources = self.ledgers[index].sources("pharmacy", self.now);
        let Some(id) = sources.into_iter().find(|id| *id != own) else {
            return;
        };
        let collector: usize = id["proxy-".len()..].parse().expect("an index");
        let awake = self.frozen_until[collector] <= self.now;
        if !awake || !self.connected(index, collector) {
            return;
        }
        let asked = self.now;
        let ages = self.ledgers[collector].grant("pharmacy", amount, self.now);
        self.send(collector, index, Message::Granted { asked, ages });
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let late = match message {
            Message::Loans { .. } => self.faults.late_loans,
            Message::Granted { .. } => self.faults.late_grants,
        };
        let delay = match self.random.chance(late) {
            true => self.random.below(6_000),
            false => self.random.below(40),
        };
        self.on_the_way.push(Delivery {
            at: self.now + Duration::from_millis(delay),
            from,
            to,
            message,
        });
    }
}

/// The most operations in a window over several runs.
fn most_admitted(missing: Missing, seeds: std::ops::Range<u64>) -> usize {
    let runs = seeds.map(|seed| {
        let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Model::new(seed, missing).run(Duration::from_secs(60))
    });
    runs.max().unwrap_or_default()
}

fn allowed() -> usize {
    TOLERANCE.allowed(&account().limit) as usize
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Restarts, freezes and partitions must not let proxies exceed a limit together.
    #[test]
    fn windows_stay_within_the_tolerance(seed in any::<u64>()) {
        let most = Model::new(seed, Missing::Nothing).run(Duration::from_secs(30));

        prop_assert!(most <= allowed(), "{most} operations, {} are allowed", allowed());
    }
}

#[yare::parameterized(
    restart_delay = { Missing::RestartDelay },
    term_from_request = { Missing::TermFromRequest },
    issue_time = { Missing::IssueTime },
)]
fn model_finds_a_missing_safeguard(missing: Missing) {
    let most = most_admitted(missing, 1..150);

    assert!(
        most > allowed(),
        "{most} operations, {} are allowed",
        allowed()
    );
}

/// An account that presses on a single proxy gets its whole limit, although every proxy issues only a
/// small part of the permits.
#[test]
fn one_proxy_gets_the_whole_limit_through_a_collector() {
    let mut model = Model::new(7, Missing::Nothing);
    let collector = (0..Model::PROXIES)
        .find(|index| {
            let own = format!("proxy-{index}");
            let all = peers(Model::PROXIES);
            let mut ledger = ledger(*index, Model::PROXIES, Moment::default(), model.now);
            all.iter().for_each(|peer| {
                ledger.lend(&peer.id, model.now);
            });
            ledger.sources("pharmacy", model.now).last() == Some(&own.as_str())
        })
        .expect("a collector");
    let caller = (collector + 1) % Model::PROXIES;
    let mut admitted = 0;

    for _ in 0..1_000 {
        model.now = model.now + STEP;
        if model.now.millis().is_multiple_of(500) {
            for other in 0..Model::PROXIES {
                (0..Model::PROXIES)
                    .filter(|index| *index != other)
                    .for_each(|index| {
                        let asked = model.now;
                        let loans = model.ledgers[index].lend(&format!("proxy-{other}"), asked);
                        model.ledgers[other].accept(
                            &format!("proxy-{index}"),
                            &loans,
                            asked,
                            asked,
                        );
                    });
            }
        }
        for _ in 0..2 {
            if let Decision::Draw { amount } = model.ledgers[caller].admit(&account(), model.now) {
                let granted = model.ledgers[collector].grant("pharmacy", amount, model.now);
                model.ledgers[caller].credit("pharmacy", &granted);
                let again = model.ledgers[caller].retry(&account(), model.now);
                admitted += usize::from(matches!(again, Decision::Admitted { .. }));
            } else {
                admitted += 1;
            }
        }
    }

    let rate = admitted as f64 / 20.0;
    // About 44 permits are issued per second with this tolerance.
    assert!(
        (43.0..=45.0).contains(&rate),
        "{rate} operations per second"
    );
}

/// A proxy that lost all others still admits its own part, and no more.
#[test]
fn cut_off_proxy_admits_its_part() {
    let start = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 2, Moment::default(), start);
    let mut admitted = 0;

    for step in 0..500 {
        let now = start + STEP * step;
        let decision = ledger.admit(&account(), now);
        admitted += usize::from(matches!(decision, Decision::Admitted { .. }));
    }

    assert!((215..=225).contains(&admitted), "{admitted} in 10 s");
}

/// A second burst after a restart would exceed the limit: a new process starts without permits.
#[test]
fn new_process_starts_without_permits() {
    let now = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 1, now, now);

    let first = ledger.admit(&account(), now);

    assert!(matches!(first, Decision::Draw { .. }), "{first:?}");
}

#[test]
fn permit_of_an_operation_that_did_not_run_is_given_back() {
    let start = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 1, Moment::default(), start);
    let now = start + Duration::from_millis(30);
    let Decision::Admitted { issued } = ledger.admit(&account(), now) else {
        panic!("a permit is issued within 30 ms");
    };
    assert!(matches!(
        ledger.retry(&account(), now),
        Decision::Draw { .. }
    ));

    ledger.refund("pharmacy", issued);

    assert!(matches!(
        ledger.retry(&account(), now),
        Decision::Admitted { .. }
    ));
}

#[test]
fn lowered_limit_applies_at_once() {
    let start = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 1, Moment::default(), start);
    let mut lowered = account();
    lowered.limit = Limit {
        rate: 1.0,
        burst: 1.0,
    };
    let mut accounts = Directory::default();
    accounts.insert(lowered.clone(), []);
    let changed_at = start + Duration::from_secs(1);
    ledger.configure(&accounts, changed_at);
    let mut admitted = 0;

    for step in 0..250 {
        let decision = ledger.admit(&lowered, changed_at + STEP * step);
        admitted += usize::from(matches!(decision, Decision::Admitted { .. }));
    }

    let allowed = TOLERANCE.allowed(&lowered.limit) as usize + 1;
    assert!(admitted <= allowed, "{admitted} in 5 s");
}

/// Guards against grants that have expired when they arrive.
#[test]
fn permits_for_other_proxies_are_the_newest() {
    let start = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 1, Moment::default(), start);
    let now = start + Duration::from_millis(390);

    let granted = ledger.grant("pharmacy", 1.0, now);

    let oldest = granted.iter().map(|batch| batch.issued).min();
    let age = oldest.map(|issued| now.since(issued));
    assert!(age < Some(Duration::from_millis(150)), "{age:?}");
}

#[test]
fn permits_are_taken_oldest_first() {
    let at = |ms| Moment::from_boot(Duration::from_millis(ms));
    let mut permits = Permits::default();
    for (ms, amount) in [(500, 1.0), (100, 0.5), (300, 1.0)] {
        permits.add(Batch {
            issued: at(ms),
            amount,
        });
    }

    let taken = permits.take(1.0);
    permits.drop_issued_before(at(400));

    let issued: Vec<Moment> = taken.iter().map(|batch| batch.issued).collect();
    assert_eq!(issued, [at(100), at(300)]);
    assert_eq!(permits.total(), 1.0);
}
