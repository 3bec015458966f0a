//! A bit set of the items of one job.

use serde::{Deserialize, Serialize};

use crate::id::Item;

const WORD_BITS: u32 = u64::BITS;

/// A set of items that takes one bit for each item index up to the highest one in the set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSet {
    words: Vec<u64>,
    /// The number of bits set in `words`.
    len: u32,
}

impl ItemSet {
    /// Adds an item. Returns false if the set already contains it.
    pub fn insert(&mut self, item: Item) -> bool {
        let (word, bit) = locate(item);
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let is_new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        self.len += u32::from(is_new);
        is_new
    }

    pub fn contains(&self, item: Item) -> bool {
        let (word, bit) = locate(item);
        self.words.get(word).is_some_and(|bits| bits & bit != 0)
    }

    pub fn len(&self) -> u32 {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The items in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Item> + '_ {
        let limit = self.words.len() as u32 * WORD_BITS;
        (0..limit).map(Item).filter(|item| self.contains(*item))
    }

    /// Heap size of the set in bytes.
    pub fn bytes(&self) -> usize {
        self.words.len() * size_of::<u64>()
    }
}

/// The index of the item's word and the item's bit in that word.
fn locate(item: Item) -> (usize, u64) {
    ((item.0 / WORD_BITS) as usize, 1 << (item.0 % WORD_BITS))
}
