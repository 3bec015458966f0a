//! Rendezvous hashing: every node that sees the same members makes the same choice.

use xxhash_rust::xxh3::xxh3_64;

/// The score of `member` for `key`. The member with the highest score is chosen.
pub fn score(key: &str, member: &str) -> u64 {
    xxh3_64(format!("{key}\0{member}").as_bytes())
}

/// The member that all nodes with the same members choose for `key`.
pub fn choose<'a, T: ToString + Ord>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    members.into_iter().max_by_key(|member| (score(key, &member.to_string()), *member))
}

/// All members, the chosen one first. Online work fills them from the front, batch from the back.
pub fn order<'a, T: ToString + Ord>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut order: Vec<&T> = members.into_iter().collect();
    order
        .sort_by_cached_key(|member| std::cmp::Reverse((score(key, &member.to_string()), *member)));
    order
}
