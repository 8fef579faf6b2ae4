//! A model of proxies that exchange permits, with faults.

use std::time::Duration;

use dandelionpitch_engine::{
    quota::{Batch, Decision, Ledger, Loans},
    time::Moment,
};

use super::{account, ledger, peers, STEP, TOLERANCE};

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
pub enum Missing {
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
pub struct Model {
    random: Random,
    faults: Faults,
    missing: Missing,
    pub now: Moment,
    pub ledgers: Vec<Ledger>,
    /// Until when each proxy is cut off from the others, and frozen.
    cut_until: Vec<Moment>,
    frozen_until: Vec<Moment>,
    on_the_way: Vec<Delivery>,
    admitted: Vec<Moment>,
}

impl Model {
    pub const PROXIES: usize = 3;

    pub fn new(seed: u64, missing: Missing) -> Self {
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
    pub fn run(mut self, length: Duration) -> usize {
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
pub fn most_admitted(missing: Missing, seeds: std::ops::Range<u64>) -> usize {
    let runs = seeds.map(|seed| {
        let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Model::new(seed, missing).run(Duration::from_secs(60))
    });
    runs.max().unwrap_or_default()
}
