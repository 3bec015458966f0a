//! A set of items of one job, one bit each.

use serde::{Deserialize, Serialize};

use crate::id::Item;

/// The number of bits in a word.
const WORD: u32 = u64::BITS;

/// A set of items that takes no more than a bit for each item up to the highest one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSet {
    words: Vec<u64>,
    /// The number of bits set in `words`.
    len: u32,
}

impl ItemSet {
    /// Adds an item. False if it was there already.
    pub fn insert(&mut self, item: Item) -> bool {
        let (word, bit) = place(item);
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let fresh = self.words[word] & bit == 0;
        self.words[word] |= bit;
        self.len += u32::from(fresh);
        fresh
    }

    pub fn contains(&self, item: Item) -> bool {
        let (word, bit) = place(item);
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
        let limit = self.words.len() as u32 * WORD;
        (0..limit).map(Item).filter(|item| self.contains(*item))
    }

    /// Bytes that the set takes.
    pub fn bytes(&self) -> usize {
        self.words.len() * size_of::<u64>()
    }
}

fn place(item: Item) -> (usize, u64) {
    ((item.0 / WORD) as usize, 1 << (item.0 % WORD))
}
