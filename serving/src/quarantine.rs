//! Detects requests that crash upstreams.
//!
//! Every request in flight at an upstream that crashes becomes a suspect. A suspect is retried in
//! isolation from other suspects. A suspect that succeeds is cleared. If a second upstream crashes
//! while it runs the suspect, the request is quarantined: all nodes refuse the request until the
//! quarantine expires.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    id::{Upstream, Workspace},
    time::Millis,
};

/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// Number of crashes that don't count against a suspect while it runs next to other requests.
const IGNORED_SHARED_CRASHES: u32 = 1;
/// Reports of crashes of one upstream within this time are the same crash.
const SAME_CRASH_WINDOW: Millis = Millis(5_000);
/// Number of upstreams that crash within `CORRELATED_WINDOW` at which the cause is taken to be a
/// rack or link instead of a request.
const CORRELATED_CRASHES: usize = 5;
/// Number of these crashes under one request at which the request is the cause after all. A harmless
/// one may be sent again to another upstream of the rack, but hardly to a third one.
const CORRELATED_CRASHES_OF_CAUSE: usize = 3;
/// Time within which crashes of several upstreams are taken to have a common cause.
const CORRELATED_WINDOW: Millis = Millis(2_000);
/// Maximum number of suspects. Beyond it the suspect with the oldest crash is removed.
const MAX_SUSPECTS: usize = 1_024;

/// Hash of a request's workspace and content, which identifies the request across retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    pub fn of(workspace: &Workspace, body: &[u8]) -> Fingerprint {
        let mut hash = Sha256::new();
        hash.update(workspace.0.as_bytes());
        hash.update([0]);
        hash.update(body);
        let digest = hash.finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&digest[..16]);
        Fingerprint(short)
    }

    /// The first 32 bits.
    pub fn short(&self) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_be_bytes([a, b, c, d])
    }
}

/// How a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Clear,
    /// Must be sent in isolation from other suspects.
    Suspect,
    /// Must be refused.
    Quarantined,
}

/// Crash of an upstream while a request was in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    pub upstream: Upstream,
    /// Time of the crash on this node's clock. In messages, the time since the crash instead,
    /// because the clocks of nodes differ.
    pub at: Millis,
}

/// A suspect as sent between nodes. A suspect without crashes is cleared at the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    pub fingerprint: Fingerprint,
    #[serde(rename = "deaths")]
    pub crashes: Vec<Crash>,
}

/// Suspects and quarantined requests as known to one node.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Time after its last crash at which a suspect expires.
    keep: Millis,
    suspects: BTreeMap<Fingerprint, Vec<Crash>>,
    /// Crashes within `CORRELATED_WINDOW` with the request, oldest first, one for each upstream and
    /// request. At most `MAX_SUSPECTS`.
    recent_crashes: VecDeque<(Fingerprint, Crash)>,
    /// Number of upstream crashes while each suspect ran next to other requests. Not sent to other
    /// nodes.
    shared_crashes: BTreeMap<Fingerprint, u32>,
    /// Suspects that changed at this node and haven't been sent to the other nodes yet.
    updates: Vec<Suspect>,
}

impl Quarantine {
    pub fn new(keep: Millis) -> Quarantine {
        Quarantine {
            keep,
            suspects: BTreeMap::new(),
            recent_crashes: VecDeque::new(),
            shared_crashes: BTreeMap::new(),
            updates: Vec::new(),
        }
    }

    /// How the request may be sent.
    pub fn status(&self, now: Millis, fingerprint: &Fingerprint) -> Status {
        let Some(crashes) = self.suspects.get(fingerprint) else { return Status::Clear };
        let expired = crashes.last().is_none_or(|crash| now - crash.at > self.keep);
        match crashes.len() {
            _ if expired => Status::Clear,
            count if count >= QUARANTINE_CRASHES => Status::Quarantined,
            _ => Status::Suspect,
        }
    }

    /// Records that the upstream crashed while the request was in flight there. Returns how the
    /// request may be sent from now on.
    pub fn record_crash(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        upstream: &Upstream,
    ) -> Status {
        let crash = Crash { upstream: upstream.clone(), at: now };
        let Some(crashes) = self.record_recent_crash(now, fingerprint, crash) else {
            return self.status(now, &fingerprint);
        };
        self.expire(now);
        let mut has_changed = false;
        for crash in crashes {
            has_changed |= self.add_crash(fingerprint, crash);
        }
        if has_changed {
            let crashes = self.suspects.get(&fingerprint).cloned().unwrap_or_default();
            self.updates.push(Suspect { fingerprint, crashes });
        }
        self.status(now, &fingerprint)
    }

    /// Records that the upstream crashed while a suspect ran there next to other requests, after it
    /// had run past the point of its first crash. Only further crashes of this kind count against
    /// it, because another request may have caused the first one.
    pub fn record_shared_crash(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        upstream: &Upstream,
    ) -> Status {
        if self.shared_crashes.len() >= MAX_SUSPECTS {
            self.shared_crashes.pop_first();
        }
        let count = self.shared_crashes.entry(fingerprint).or_default();
        *count += 1;
        if *count > IGNORED_SHARED_CRASHES {
            return self.record_crash(now, fingerprint, upstream);
        }
        self.status(now, &fingerprint)
    }

    /// Records that the request succeeded, which clears a suspect.
    pub fn record_success(&mut self, fingerprint: &Fingerprint) {
        self.shared_crashes.remove(fingerprint);
        if self.suspects.remove(fingerprint).is_some() {
            self.updates.push(Suspect { fingerprint: *fingerprint, crashes: Vec::new() });
        }
    }

    /// Merges the suspects that another node sent.
    pub fn merge(&mut self, now: Millis, suspects: Vec<Suspect>) {
        self.expire(now);
        for suspect in suspects {
            if suspect.crashes.is_empty() {
                self.suspects.remove(&suspect.fingerprint);
            }
            for crash in suspect.crashes {
                self.add_crash(suspect.fingerprint, Crash { at: now - crash.at, ..crash });
            }
        }
    }

    /// Returns the suspects that changed at this node since the last call, for other nodes.
    pub fn take_updates(&mut self, now: Millis) -> Vec<Suspect> {
        let updates = std::mem::take(&mut self.updates);
        updates.into_iter().map(|suspect| with_crash_ages(now, suspect)).collect()
    }

    /// Returns at most `limit` suspects with the most crashes, for a datagram with limited space.
    pub fn most_crashes(&self, now: Millis, limit: usize) -> Vec<Suspect> {
        let mut suspects = self.suspects(now);
        suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.crashes.len()));
        suspects.truncate(limit);
        suspects
    }

    /// Returns all suspects, for other nodes.
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        let suspect = |(fingerprint, crashes): (&Fingerprint, &Vec<Crash>)| {
            with_crash_ages(now, Suspect { fingerprint: *fingerprint, crashes: crashes.clone() })
        };
        self.suspects.iter().map(suspect).collect()
    }

    /// Adds a crash in order of time. Returns false if it is known already or the request has
    /// enough crashes to be quarantined.
    fn add_crash(&mut self, fingerprint: Fingerprint, crash: Crash) -> bool {
        let crashes = self.suspects.entry(fingerprint).or_default();
        let known = crashes.iter().any(|known| {
            let interval = (known.at - crash.at).max(crash.at - known.at);
            known.upstream == crash.upstream && interval <= SAME_CRASH_WINDOW
        });
        if known || crashes.len() >= QUARANTINE_CRASHES {
            return false;
        }
        crashes.push(crash);
        crashes.sort_by_key(|crash| crash.at);
        true
    }

    /// Records the crash and returns the crashes that count against the request. `None` if so many
    /// upstreams crashed together that the request is hardly the cause.
    fn record_recent_crash(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        crash: Crash,
    ) -> Option<Vec<Crash>> {
        self.recent_crashes.retain(|(_, recent)| now - recent.at <= CORRELATED_WINDOW);
        let is_known = self
            .recent_crashes
            .iter()
            .any(|(request, recent)| *request == fingerprint && recent.upstream == crash.upstream);
        if !is_known {
            self.recent_crashes.push_back((fingerprint, crash.clone()));
            if self.recent_crashes.len() > MAX_SUSPECTS {
                self.recent_crashes.pop_front();
            }
        }
        let upstreams: BTreeSet<&Upstream> =
            self.recent_crashes.iter().map(|(_, recent)| &recent.upstream).collect();
        if upstreams.len() < CORRELATED_CRASHES {
            return Some(vec![crash]);
        }
        let own = self.recent_crashes.iter().filter(|(request, _)| *request == fingerprint);
        let own: Vec<Crash> = own.map(|(_, recent)| recent.clone()).collect();
        (own.len() >= CORRELATED_CRASHES_OF_CAUSE).then_some(own)
    }

    /// Removes expired suspects, and the oldest ones beyond `MAX_SUSPECTS`.
    fn expire(&mut self, now: Millis) {
        let keep = self.keep;
        self.suspects
            .retain(|_, crashes| crashes.last().is_some_and(|crash| now - crash.at <= keep));
        while self.suspects.len() >= MAX_SUSPECTS {
            let oldest =
                self.suspects.iter().min_by_key(|(_, crashes)| crashes.last().map(|d| d.at));
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.suspects.remove(&oldest);
        }
    }
}

/// Converts the times of crashes to the time since them, as they are sent to other nodes.
fn with_crash_ages(now: Millis, mut suspect: Suspect) -> Suspect {
    for crash in &mut suspect.crashes {
        crash.at = now - crash.at;
    }
    suspect
}
