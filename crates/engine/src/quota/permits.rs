//! Permits that a proxy holds, with the times at which they were issued.

use std::{collections::VecDeque, time::Duration};

use crate::time::Moment;

/// Batches that were issued within this time are merged, under the earlier time.
const MERGE_WITHIN: Duration = Duration::from_millis(50);

/// An amount of permits, possibly a fraction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batch {
    /// When they were issued, or earlier: a permit that counts as older than it is expires too early.
    pub issued: Moment,
    pub amount: f64,
}

/// Permits of one account, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    batches: VecDeque<Batch>,
}

impl Permits {
    /// The number of permits.
    pub fn total(&self) -> f64 {
        self.batches.iter().map(|batch| batch.amount).sum()
    }

    /// Adds permits.
    pub fn add(&mut self, batch: Batch) {
        if batch.amount <= 0.0 {
            return;
        }
        let after = self.batches.iter().rposition(|b| b.issued <= batch.issued);
        let earlier = after.and_then(|index| self.batches.get_mut(index));
        match earlier {
            Some(earlier) if batch.issued.since(earlier.issued) < MERGE_WITHIN => {
                earlier.amount += batch.amount;
            }
            _ => {
                let index = after.map_or(0, |index| index + 1);
                self.batches.insert(index, batch);
            }
        }
    }

    /// Keeps only this part of the permits, as the limit was lowered.
    pub fn scale(&mut self, part: f64) {
        self.batches.iter_mut().for_each(|b| b.amount *= part);
    }

    /// Drops the permits that were issued before `oldest`.
    pub fn drop_issued_before(&mut self, oldest: Moment) {
        while self.batches.front().is_some_and(|b| b.issued < oldest) {
            self.batches.pop_front();
        }
    }

    /// Takes up to `amount` permits, oldest first.
    pub fn take(&mut self, amount: f64) -> Vec<Batch> {
        let (mut left, mut taken) = (amount, Vec::new());
        while let Some(batch) = self.batches.pop_front() {
            let (part, rest) = batch.split(left);
            left -= part.amount;
            taken.push(part);
            if let Some(rest) = rest {
                self.batches.push_front(rest);
                break;
            }
        }
        taken
    }

    /// Takes up to `amount` permits, newest first.
    pub fn take_newest(&mut self, amount: f64) -> Vec<Batch> {
        let (mut left, mut taken) = (amount, Vec::new());
        while let Some(batch) = self.batches.pop_back() {
            let (part, rest) = batch.split(left);
            left -= part.amount;
            taken.push(part);
            if let Some(rest) = rest {
                self.batches.push_back(rest);
                break;
            }
        }
        taken
    }
}

impl Batch {
    /// Splits off up to `amount`; the second part is the rest, if there is any.
    fn split(self, amount: f64) -> (Self, Option<Self>) {
        let with = |amount| Self { amount, ..self };
        match self.amount > amount {
            true => (with(amount), Some(with(self.amount - amount))),
            false => (self, None),
        }
    }
}
