//! The keys of one version of the configuration and the workspaces that hold them.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use sha2::{Digest as _, Sha256};

use crate::id::Workspace;

use super::Caller;

/// Digest of a key. Keys themselves are not kept, so that no log line or dump can show them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    pub(super) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    /// Hides the digest: short keys can be guessed from theirs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// A workspace with its limits over all nodes together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    pub workspace: Workspace,
    /// Rank among workspaces, which goes before the priority of a route; 0 is the most urgent.
    pub priority: u32,
    /// Requests a second. 0 means no limit.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may be sent at once.
    pub burst: f64,
}

/// A workspace and its keys, as configured.
pub type Workspaces = Vec<(Member, Vec<String>)>;

/// Looks up workspaces by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    members: BTreeMap<KeyDigest, Arc<Member>>,
}

impl Directory {
    /// Builds the directory. A key that several workspaces hold is left out, because it can't say
    /// which of them a request belongs to.
    pub fn new(workspaces: Workspaces) -> Directory {
        let mut members: BTreeMap<KeyDigest, Arc<Member>> = BTreeMap::new();
        let mut ambiguous = BTreeSet::new();
        for (member, keys) in workspaces {
            let member = Arc::new(member);
            for key in keys {
                let digest = digest(&key);
                let previous = members.insert(digest, Arc::clone(&member));
                if let Some(previous) = previous
                    && previous.workspace != member.workspace
                {
                    log::warn!(
                        workspace = member.workspace.0.as_str(),
                        other = previous.workspace.0.as_str();
                        "two workspaces hold the same key; the key is not valid for either"
                    );
                    ambiguous.insert(digest);
                }
            }
        }
        members.retain(|digest, _| !ambiguous.contains(digest));
        Directory { members }
    }

    /// The workspace that holds `key`.
    pub fn find(&self, key: &str) -> Option<&Arc<Member>> {
        self.find_digest(digest(key))
    }

    /// The digests of all valid keys, in their order.
    pub(super) fn keys(&self) -> impl Iterator<Item = &KeyDigest> {
        self.members.keys()
    }

    /// The caller that presents `key`.
    pub(super) fn find_caller(&self, key: &str) -> Option<Caller> {
        let key = digest(key);
        Some(Caller { member: Arc::clone(self.find_digest(key)?), key })
    }

    pub(super) fn find_digest(&self, key: KeyDigest) -> Option<&Arc<Member>> {
        self.members.get(&key)
    }

    /// All workspaces, in no useful order. One with several keys occurs once for each.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }
}

fn digest(key: &str) -> KeyDigest {
    KeyDigest(Sha256::digest(key.as_bytes()).into())
}
