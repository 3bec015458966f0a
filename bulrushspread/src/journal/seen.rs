//! Removal of records that stand more than once in a stream.

use std::collections::BTreeMap;

use super::record::{Entry, Writer};

/// The highest sequence seen of each writer.
///
/// A writer sends a record only after all its earlier records of the stream have been read back,
/// so a sequence that is not higher than the highest one seen is a further copy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    highest: BTreeMap<Writer, u64>,
}

impl Seen {
    /// Whether the entry is the first of its id, which it is only once.
    pub fn admit(&mut self, entry: &Entry) -> bool {
        let id = &entry.record.id;
        match self.highest.get_mut(&id.writer) {
            Some(highest) if id.sequence <= *highest => false,
            Some(highest) => {
                *highest = id.sequence;
                true
            }
            None => {
                self.highest.insert(id.writer.clone(), id.sequence);
                true
            }
        }
    }
}
