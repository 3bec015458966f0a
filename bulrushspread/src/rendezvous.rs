//! Rendezvous hashing: all nodes that know the same members make the same choice.

use xxhash_rust::xxh3::xxh3_64;

/// Computes the score of `member` for `key`. The member with the highest score is chosen.
pub fn score(key: &str, member: &str) -> u64 {
    xxh3_64(format!("{key}\0{member}").as_bytes())
}

/// Chooses the member for `key`; `None` if there are no members.
pub fn choose<'a, T: ToString + Ord>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    members.into_iter().max_by_key(|member| (score(key, &member.to_string()), *member))
}

/// Ranks all members for `key`, the chosen one first. Online work fills replicas from the front of
/// the ranking, batch work from its back.
pub fn rank<'a, T: ToString + Ord>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut ranking: Vec<&T> = members.into_iter().collect();
    ranking
        .sort_by_cached_key(|member| std::cmp::Reverse((score(key, &member.to_string()), *member)));
    ranking
}
