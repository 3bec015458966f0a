//! Deduplication of the records of a stream.

use std::collections::BTreeMap;

use super::record::{Entry, Writer};

/// Detects duplicates by the highest sequence of each writer.
///
/// A writer sends a record only after all its earlier records of the stream have been read back,
/// so a sequence that is not above the highest one so far belongs to a duplicate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    highest: BTreeMap<Writer, u64>,
}

impl Filter {
    /// Records the id of `entry`. Returns false if the entry is a duplicate.
    pub fn insert(&mut self, entry: &Entry) -> bool {
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
