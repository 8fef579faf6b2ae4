//! The connections of one pool: how many run, how many are idle in a transaction, and which statement
//! may start.

use std::time::Duration;

use dandelionpitch_engine::{
    admission::{self, Decision, Mean},
    ownership::{Allocation, Limits, Share},
    slots::{Mode, Opening, Phase, Purpose, Slots, Times},
};
use proptest::prelude::*;
use yare::parameterized;

use Mode::{Counted, Separate};
use Purpose::{Statement, Transaction};

/// The time that every statement takes at the server, in milliseconds.
const WORK: u64 = 8;

/// How long a caller pauses between the statements of a transaction, in milliseconds.
const PAUSE: u64 = 300;

const TARGET: Duration = Duration::from_millis(120);

/// One of six owners of a group whose servers have 4 slots and accept 73 connections.
fn owner_share(mode: Mode) -> Share {
    let limits = Limits {
        max_connections: 73,
        slots: 4,
    };
    Allocation::new(94, 3, limits).share(limits, false, mode)
}

/// Slots with this many open transactions whose callers pause.
fn paused(transactions: usize) -> Slots {
    let mut slots = Slots::new(Separate);
    for _ in 0..transactions {
        slots.start(Transaction);
        slots.pause();
    }
    slots
}

/// A statement or transaction that has a connection.
struct Active {
    purpose: Purpose,
    phase: Phase,
    started: u64,
    until: u64,
    statements_left: u64,
}

/// The load of one owner, in steps of a millisecond.
struct Load {
    slots: Slots,
    share: Share,
    statement: Mean,
    transaction: Mean,
    /// The purpose and the arrival of each statement that waits.
    waiting: Vec<(Purpose, u64)>,
    active: Vec<Active>,
    on_time: usize,
    late: usize,
    refused: usize,
}

impl Load {
    fn new(mode: Mode) -> Self {
        Self {
            slots: Slots::new(mode),
            share: owner_share(mode),
            statement: Mean::new(Duration::from_millis(30)),
            transaction: Mean::new(Duration::from_millis(30)),
            waiting: Vec::new(),
            active: Vec::new(),
            on_time: 0,
            late: 0,
            refused: 0,
        }
    }

    /// Ten seconds: 55 statements a second, and 4 transactions of four statements a second.
    fn run(mut self) -> Self {
        for now in 0..10_000 {
            self.advance(now);
            if now % 250 == 0 {
                self.arrive(Transaction, now);
            }
            if now % 18 == 0 {
                self.arrive(Statement, now);
            }
        }
        self
    }

    fn arrive(&mut self, purpose: Purpose, now: u64) {
        if self.slots.may_start(purpose, self.share) {
            return self.start(purpose, now, now);
        }
        let times = Times {
            statement: self.statement.value(),
            transaction: self.transaction.value(),
        };
        let ahead = self.waiting.len();
        let queue = self.slots.queue(purpose, self.share, ahead, times);
        match admission::decide(queue, TARGET) {
            Decision::Wait { .. } => self.waiting.push((purpose, now)),
            Decision::Refuse { .. } => self.refused += usize::from(purpose == Statement),
        }
    }

    fn start(&mut self, purpose: Purpose, arrived: u64, now: u64) {
        self.slots.start(purpose);
        let is_late = now + WORK - arrived > TARGET.as_millis() as u64;
        match (purpose, is_late) {
            (Transaction, _) => {}
            (Statement, true) => self.late += 1,
            (Statement, false) => self.on_time += 1,
        }
        self.active.push(Active {
            purpose,
            phase: Phase::Running,
            started: now,
            until: now + WORK,
            statements_left: if purpose == Transaction { 3 } else { 0 },
        });
    }

    /// Ends what is due, and starts statements that wait.
    fn advance(&mut self, now: u64) {
        for mut active in std::mem::take(&mut self.active) {
            match (now < active.until, active.phase, active.statements_left) {
                (true, ..) => self.active.push(active),
                (false, Phase::Running, 0) => self.end(&active, now),
                (false, Phase::Running, _) => {
                    self.slots.pause();
                    self.record_statement();
                    active.phase = Phase::Paused;
                    active.until = now + PAUSE;
                    self.active.push(active);
                }
                (false, Phase::Paused, _) => {
                    self.slots.resume();
                    active.phase = Phase::Running;
                    active.until = now + WORK;
                    active.statements_left -= 1;
                    self.active.push(active);
                }
            }
        }
        let may_start =
            |slots: &Slots, share, (purpose, _): &(Purpose, u64)| slots.may_start(*purpose, share);
        while let Some(next) =
            (self.waiting.iter()).position(|waiter| may_start(&self.slots, self.share, waiter))
        {
            let (purpose, arrived) = self.waiting.remove(next);
            self.start(purpose, arrived, now);
        }
    }

    fn record_statement(&mut self) {
        if self.slots.mode() == Separate {
            self.statement.record(Duration::from_millis(WORK));
        }
    }

    fn end(&mut self, active: &Active, now: u64) {
        self.slots.end(active.purpose, active.phase);
        let held = Duration::from_millis(now - active.started);
        match self.slots.mode() {
            Counted => self.statement.record(held),
            Separate => self.record_statement(),
        }
        if active.purpose == Transaction {
            self.transaction.record(held);
        }
    }
}

/// The load measured on deployment P: 18 connections of six owners held by transactions that pause,
/// while 330 statements a second arrive that take 8 ms each. Most were refused or late although the
/// server had room.
#[parameterized(
    counted = { Counted, 0, 280 },
    separate = { Separate, 550, 556 },
)]
fn pausing_transactions_do_not_block_statements(mode: Mode, min: usize, max: usize) {
    let load = Load::new(mode).run();

    let outcome = (load.on_time, load.late, load.refused);
    assert!((min..=max).contains(&load.on_time), "{outcome:?}");
}

/// Callers' pauses must not appear in the expected wait, or statements are refused that would wait for
/// some milliseconds.
#[test]
fn expected_wait_contains_no_pauses() {
    let load = Load::new(Separate).run();

    assert!(load.statement.value() <= Duration::from_millis(WORK + 1));
    assert!(load.transaction.value() >= Duration::from_millis(3 * PAUSE));
}

/// A statement of an open transaction holds locks, so it runs even if new statements use all slots. They
/// then wait until fewer run than allowed.
#[test]
fn transaction_continues_and_new_statements_wait_for_it() {
    let share = owner_share(Separate);
    let mut slots = paused(1);
    (0..share.in_use).for_each(|_| slots.start(Statement));

    slots.resume();
    let with_all_running = slots.may_start(Statement, share);
    slots.end(Statement, Phase::Running);
    let with_as_many_as_allowed = slots.may_start(Statement, share);
    slots.end(Statement, Phase::Running);

    assert!(!with_all_running);
    assert!(!with_as_many_as_allowed);
    assert!(slots.may_start(Statement, share));
}

/// Guards against a deadlock in which transactions pause on every connection.
#[test]
fn one_connection_is_left_for_single_statements() {
    let share = owner_share(Separate);
    let slots = paused(share.held - 1);
    let times = Times {
        statement: Duration::from_millis(WORK),
        transaction: Duration::from_secs(1),
    };

    let queue = slots.queue(Transaction, share, 0, times);

    assert!(!slots.may_start(Transaction, share));
    assert!(slots.may_start(Statement, share));
    assert_ne!(slots.opening(0, share), Opening::Refused);
    assert!(slots.is_exhausted(Transaction, share));
    assert!(
        matches!(admission::decide(queue, TARGET), Decision::Refuse { .. }),
        "only the end of a transaction frees a connection"
    );
}

/// A proxy with a single connection must still be able to run transactions.
#[test]
fn single_connection_runs_a_transaction() {
    let share = Share::from(1);
    let slots = paused(1);

    assert!(Slots::new(Separate).may_start(Transaction, share));
    assert!(!slots.may_start(Statement, share));
    assert!(slots.is_exhausted(Statement, share));
}

/// What happens to one connection or statement.
#[derive(Clone, Copy, Debug)]
enum Event {
    Start(Purpose),
    Pause(usize),
    Resume(usize),
    End(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Start(Statement)),
        4 => Just(Event::Start(Transaction)),
        8 => any::<usize>().prop_map(Event::Pause),
        1 => any::<usize>().prop_map(Event::Resume),
        2 => any::<usize>().prop_map(Event::End),
    ]
}

/// Applies an event to the connections that are checked out; a new one must have been admitted.
fn apply(event: Event, slots: &mut Slots, share: Share, active: &mut Vec<(Purpose, Phase)>) {
    let pick = |index: usize| index.checked_rem(active.len());
    match event {
        Event::Start(purpose) => {
            if slots.may_start(purpose, share) {
                slots.start(purpose);
                active.push((purpose, Phase::Running));
            }
        }
        Event::Pause(index) => {
            if let Some(entry) = pick(index).map(|index| &mut active[index]) {
                if *entry == (Transaction, Phase::Running) {
                    slots.pause();
                    entry.1 = Phase::Paused;
                }
            }
        }
        Event::Resume(index) => {
            if let Some(entry) = pick(index).map(|index| &mut active[index]) {
                if entry.1 == Phase::Paused {
                    slots.resume();
                    entry.1 = Phase::Running;
                }
            }
        }
        Event::End(index) => {
            if let Some((purpose, phase)) = pick(index).map(|index| active.remove(index)) {
                slots.end(purpose, phase);
            }
        }
    }
}

proptest! {
    /// Whatever happens, no more connections are checked out than `held`, no transaction takes the last
    /// one, and all counts return to zero.
    #[test]
    fn counts_stay_within_the_bounds(events in prop::collection::vec(event(), 0..200)) {
        let share = Share { in_use: 2, held: 4, open: 4 };
        let mut slots = Slots::new(Separate);
        let mut active = Vec::new();

        for event in events {
            apply(event, &mut slots, share, &mut active);
            let transactions = active.iter().filter(|(purpose, _)| *purpose == Transaction);

            prop_assert!(slots.held() <= share.held);
            prop_assert_eq!(slots.held(), active.len());
            prop_assert!(transactions.count() < share.held);
        }
        for (purpose, phase) in active {
            slots.end(purpose, phase);
        }

        prop_assert_eq!(slots, Slots::new(Separate));
    }

    /// By default, decisions are those from before idle transactions were told apart: they depend on the
    /// number of connections that are checked out, and on nothing else.
    #[test]
    fn counted_transactions_count_like_statements(
        events in prop::collection::vec(event(), 0..200),
        ahead in 0..10usize,
    ) {
        let share = owner_share(Counted);
        let mut slots = Slots::new(Counted);
        let mut active = Vec::new();
        let hold = Duration::from_millis(20);
        let times = Times { statement: hold, transaction: Duration::from_secs(1) };

        for event in events {
            apply(event, &mut slots, share, &mut active);
            for purpose in [Statement, Transaction] {
                let queue = slots.queue(purpose, share, ahead, times);

                prop_assert_eq!(slots.may_start(purpose, share), active.len() < share.in_use);
                prop_assert!(!slots.is_barred(purpose, share));
                prop_assert_eq!((queue.waiting, queue.connections), (ahead, active.len()));
                prop_assert_eq!(queue.hold, hold);
            }
        }
    }

    /// Each owner uses only its own share, so the server's limit less the reserve holds for all owners
    /// together, whatever fails.
    #[test]
    fn shares_of_all_owners_fit(
        members in 1..400usize,
        dcs in 1..6usize,
        max_connections in 4..300u32,
        slots in 1..17u32,
        has_accounts: bool,
    ) {
        let limits = Limits { max_connections, slots };
        let allocation = Allocation::new(members, dcs, limits);
        let holders = match allocation {
            Allocation::All { members } => members,
            Allocation::Owners { per_dc, dcs } => per_dc * dcs,
        };
        // Each data centre has an owner with a connection, even if the server accepts fewer.
        let usable = (max_connections as usize - 3).max(holders);

        for mode in [Counted, Separate] {
            let Share { in_use, held, open } = allocation.share(limits, has_accounts, mode);

            prop_assert!(in_use <= held && held <= open);
            prop_assert!(open * holders <= usable, "{open} for each of {holders}");
            // A quarter is left for new owners, except where `in_use` alone needs it.
            prop_assert!(open == in_use || open * holders * 4 <= usable * 3);
            prop_assert!(mode == Separate || held == in_use);
        }
    }
}
