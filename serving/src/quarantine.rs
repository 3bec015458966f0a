//! Recognises requests that crash upstreams.
//!
//! Every request in flight at an upstream when it dies becomes a suspect. A suspect is sent again
//! apart from other suspects. One that succeeds is cleared; one that sees a second upstream die
//! is quarantined and refused everywhere until that expires.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    id::{Upstream, Workspace},
    time::Millis,
};

/// Deaths that quarantine a request.
const DEATHS: usize = 2;
/// Deaths beside others that don't count against a suspect.
const DEATHS_BESIDE: u32 = 1;
/// Deaths of one upstream within this time are one death.
const SAME_DEATH: Millis = Millis(5_000);
/// Upstreams that die together show a failure of a rack or link, not of a request.
const STORM_DEATHS: usize = 5;
/// The time within which deaths count as together.
const STORM_WINDOW: Millis = Millis(2_000);
/// Suspects that are kept at most.
const CAPACITY: usize = 1_024;

/// Names a request by its workspace and content.
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
}

/// How a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Clear,
    /// To be sent apart from other suspects.
    Suspect,
    /// To be refused.
    Quarantined,
}

/// An upstream that died while a request was in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    pub upstream: Upstream,
    /// When it died, on the holder's clock; on the wire, how long ago.
    pub at: Millis,
}

/// A suspect as nodes tell it to one another. Without deaths, it is cleared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    pub fingerprint: Fingerprint,
    pub deaths: Vec<Death>,
}

/// What one node knows of crashing requests.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// How long a suspect is remembered after its last death.
    keep: Millis,
    suspects: BTreeMap<Fingerprint, Vec<Death>>,
    /// Deaths of late, oldest first, each upstream once.
    recent: VecDeque<Death>,
    /// Deaths of suspects that ran beside others. Not told to other nodes.
    beside: BTreeMap<Fingerprint, u32>,
    /// Suspects that changed here and that the other nodes haven't been told of.
    news: Vec<Suspect>,
}

impl Quarantine {
    pub fn new(keep: Millis) -> Quarantine {
        Quarantine {
            keep,
            suspects: BTreeMap::new(),
            recent: VecDeque::new(),
            beside: BTreeMap::new(),
            news: Vec::new(),
        }
    }

    /// How the request may be sent.
    pub fn verdict(&self, now: Millis, fingerprint: &Fingerprint) -> Verdict {
        let Some(deaths) = self.suspects.get(fingerprint) else { return Verdict::Clear };
        let expired = deaths.last().is_none_or(|death| now - death.at > self.keep);
        match deaths.len() {
            _ if expired => Verdict::Clear,
            count if count >= DEATHS => Verdict::Quarantined,
            _ => Verdict::Suspect,
        }
    }

    /// The upstream died while the request was in flight there.
    pub fn died(&mut self, now: Millis, fingerprint: Fingerprint, upstream: &Upstream) -> Verdict {
        let death = Death { upstream: upstream.clone(), at: now };
        if self.storm(now, &death) {
            return self.verdict(now, &fingerprint);
        }
        self.expire(now);
        if self.add(fingerprint, death) {
            let deaths = self.suspects.get(&fingerprint).cloned().unwrap_or_default();
            self.news.push(Suspect { fingerprint, deaths });
        }
        self.verdict(now, &fingerprint)
    }

    /// The upstream died while the request, a suspect, ran there beside others after it had
    /// outlived its first death. Only a repetition counts against it.
    pub fn died_beside(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        upstream: &Upstream,
    ) -> Verdict {
        if self.beside.len() >= CAPACITY {
            self.beside.pop_first();
        }
        let deaths = self.beside.entry(fingerprint).or_default();
        *deaths += 1;
        if *deaths > DEATHS_BESIDE {
            return self.died(now, fingerprint, upstream);
        }
        self.verdict(now, &fingerprint)
    }

    /// The request has succeeded.
    pub fn succeeded(&mut self, fingerprint: &Fingerprint) {
        self.beside.remove(fingerprint);
        if self.suspects.remove(fingerprint).is_some() {
            self.news.push(Suspect { fingerprint: *fingerprint, deaths: Vec::new() });
        }
    }

    /// Takes in what another node has told.
    pub fn merge(&mut self, now: Millis, suspects: Vec<Suspect>) {
        self.expire(now);
        for suspect in suspects {
            if suspect.deaths.is_empty() {
                self.suspects.remove(&suspect.fingerprint);
            }
            for death in suspect.deaths {
                self.add(suspect.fingerprint, Death { at: now - death.at, ..death });
            }
        }
    }

    /// What changed here since the last call, as it goes on the wire.
    pub fn take_news(&mut self, now: Millis) -> Vec<Suspect> {
        let news = std::mem::take(&mut self.news);
        news.into_iter().map(|suspect| aged(now, suspect)).collect()
    }

    /// The suspects with the most deaths, as they go on the wire: as many as a datagram holds
    /// beside other news.
    pub fn worst(&self, now: Millis, most: usize) -> Vec<Suspect> {
        let mut suspects = self.all(now);
        suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.deaths.len()));
        suspects.truncate(most);
        suspects
    }

    /// Everything known, as it goes on the wire.
    pub fn all(&self, now: Millis) -> Vec<Suspect> {
        let suspect = |(fingerprint, deaths): (&Fingerprint, &Vec<Death>)| {
            aged(now, Suspect { fingerprint: *fingerprint, deaths: deaths.clone() })
        };
        self.suspects.iter().map(suspect).collect()
    }

    /// Adds a death unless it is known. Keeps deaths in order of time.
    fn add(&mut self, fingerprint: Fingerprint, death: Death) -> bool {
        let deaths = self.suspects.entry(fingerprint).or_default();
        let known = deaths.iter().any(|known| {
            let apart = (known.at - death.at).max(death.at - known.at);
            known.upstream == death.upstream && apart <= SAME_DEATH
        });
        if known || deaths.len() >= DEATHS {
            return false;
        }
        deaths.push(death);
        deaths.sort_by_key(|death| death.at);
        true
    }

    /// Whether so many upstreams died together that no request is to blame.
    fn storm(&mut self, now: Millis, death: &Death) -> bool {
        self.recent.retain(|recent| now - recent.at <= STORM_WINDOW);
        if self.recent.iter().all(|recent| recent.upstream != death.upstream) {
            self.recent.push_back(death.clone());
        }
        self.recent.len() >= STORM_DEATHS
    }

    fn expire(&mut self, now: Millis) {
        let keep = self.keep;
        self.suspects.retain(|_, deaths| deaths.last().is_some_and(|death| now - death.at <= keep));
        while self.suspects.len() >= CAPACITY {
            let oldest = self.suspects.iter().min_by_key(|(_, deaths)| deaths.last().map(|d| d.at));
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.suspects.remove(&oldest);
        }
    }
}

fn aged(now: Millis, mut suspect: Suspect) -> Suspect {
    for death in &mut suspect.deaths {
        death.at = now - death.at;
    }
    suspect
}
