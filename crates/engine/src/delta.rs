//! Delta encoding of values.
//!
//! Sending a configuration of hundreds of kilobytes in full to dozens of followers after each small
//! change would saturate the relay's network link for seconds, until the followers time out and request it
//! elsewhere, which saturates those links too. What changed is a few hundred bytes.

use dandelionpitch_core::hash::{self, Map};

/// A piece of the new value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A range of bytes of the base value.
    Copy {
        from: usize,
        length: usize,
    },
    Literal(Vec<u8>),
}

/// Values are split into chunks after this byte, which ends a JSON object.
const BOUNDARY: u8 = b'}';

/// The difference between two values of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The revision of the value to which the delta applies.
    pub base_revision: u64,
    /// The checksum of the resulting value.
    pub checksum: u64,
    pub pieces: Vec<Piece>,
}

impl Delta {
    /// The delta from `old`, which was written at `base_revision`, to `new`.
    pub fn new(base_revision: u64, old: &[u8], new: &[u8]) -> Self {
        Self {
            base_revision,
            checksum: hash::stable_hash(&new),
            pieces: diff(old, new),
        }
    }

    /// Applies the delta to `old`, which was written at revision `at`. Returns `None` if that is not the
    /// delta's base, or if the checksum does not match.
    pub fn apply(&self, at: u64, old: &[u8]) -> Option<Vec<u8>> {
        let value = apply(old, &self.pieces).filter(|_| at == self.base_revision)?;
        (hash::stable_hash(&value.as_slice()) == self.checksum).then_some(value)
    }
}

fn diff(old: &[u8], new: &[u8]) -> Vec<Piece> {
    let mut known: Map<&[u8], usize> = Map::default();
    let mut offset = 0;
    for chunk in chunks(old) {
        known.entry(chunk).or_insert(offset);
        offset += chunk.len();
    }
    let mut pieces = Vec::new();
    for chunk in chunks(new) {
        match (known.get(chunk), pieces.last_mut()) {
            (Some(_), Some(Piece::Copy { from, length }))
                if old[*from + *length..].starts_with(chunk) =>
            {
                *length += chunk.len();
            }
            (Some(&from), _) => pieces.push(Piece::Copy {
                from,
                length: chunk.len(),
            }),
            (None, Some(Piece::Literal(bytes))) => bytes.extend_from_slice(chunk),
            (None, _) => pieces.push(Piece::Literal(chunk.to_vec())),
        }
    }
    pieces
}

fn chunks(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split_inclusive(|&byte| byte == BOUNDARY)
}

fn apply(old: &[u8], pieces: &[Piece]) -> Option<Vec<u8>> {
    let mut value = Vec::new();
    for piece in pieces {
        match piece {
            Piece::Copy { from, length } => {
                let end = from.checked_add(*length)?;
                value.extend_from_slice(old.get(*from..end)?);
            }
            Piece::Literal(bytes) => value.extend_from_slice(bytes),
        }
    }
    Some(value)
}
