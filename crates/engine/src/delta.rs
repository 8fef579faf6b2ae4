//! A value told by what of it is new.
//!
//! Load pattern: a configuration of hundreds of kilobytes changes in one place, and a proxy that tells dozens
//! of others of it fills its link for seconds; they give up, ask others for all of it, and fill those
//! links as well. What is new of it is a few hundred bytes, however long it is.

use dandelionpitch_core::hash::{self, Map};

/// A part of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A part of the value before.
    Kept {
        from: usize,
        length: usize,
    },
    New(Vec<u8>),
}

/// Values are compared by the parts that end here: the end of an object in JSON.
const END: u8 = b'}';

/// What makes one value of an earlier one of the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The revision of the earlier one.
    pub of: u64,
    /// Tells whether the result is the value that was meant.
    pub check: u64,
    pub pieces: Vec<Piece>,
}

impl Delta {
    /// What makes `new` of `old`, which was written at the revision `of`.
    pub fn new(of: u64, old: &[u8], new: &[u8]) -> Self {
        Self {
            of,
            check: hash::stable_hash(&new),
            pieces: diff(old, new),
        }
    }

    /// The value meant; `None` if `old`, which was written at the revision `at`, is another one than it
    /// was made of.
    pub fn apply(&self, at: u64, old: &[u8]) -> Option<Vec<u8>> {
        let value = apply(old, &self.pieces).filter(|_| at == self.of)?;
        (hash::stable_hash(&value.as_slice()) == self.check).then_some(value)
    }
}

fn diff(old: &[u8], new: &[u8]) -> Vec<Piece> {
    let mut known: Map<&[u8], usize> = Map::default();
    let mut offset = 0;
    for part in parts(old) {
        known.entry(part).or_insert(offset);
        offset += part.len();
    }
    let mut pieces = Vec::new();
    for part in parts(new) {
        match (known.get(part), pieces.last_mut()) {
            (Some(_), Some(Piece::Kept { from, length }))
                if old[*from + *length..].starts_with(part) =>
            {
                *length += part.len();
            }
            (Some(&from), _) => pieces.push(Piece::Kept {
                from,
                length: part.len(),
            }),
            (None, Some(Piece::New(bytes))) => bytes.extend_from_slice(part),
            (None, _) => pieces.push(Piece::New(part.to_vec())),
        }
    }
    pieces
}

fn parts(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split_inclusive(|&byte| byte == END)
}

fn apply(old: &[u8], pieces: &[Piece]) -> Option<Vec<u8>> {
    let mut value = Vec::new();
    for piece in pieces {
        match piece {
            Piece::Kept { from, length } => {
                let end = from.checked_add(*length)?;
                value.extend_from_slice(old.get(*from..end)?);
            }
            Piece::New(bytes) => value.extend_from_slice(bytes),
        }
    }
    Some(value)
}
