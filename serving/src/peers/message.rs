//! The gossip datagram that nodes send each other, encoded with postcard.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    balance::{Digest, Loads, limit, pace},
    batch::{order::Bucket, quota::Report},
    collector::DataCentreDigest,
    forward::{Notice, Offer},
    id::{Incarnation, Service, Vm},
    origins::News,
    parts,
    quarantine::Suspect,
    time::Millis,
};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// The complete gossip state of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub vm: Vm,
    pub incarnation: Incarnation,
    /// Increases with each message of an incarnation, so that receivers can drop messages that
    /// arrive out of order.
    pub sequence: u64,
    /// Address at which the node receives gossip.
    pub address: SocketAddr,
    /// In-flight requests of the node, by upstream.
    pub loads: Loads,
    /// Upstreams that the node has ejected, with the remaining time of each ejection.
    pub ejected: Vec<(Digest, Millis)>,
    /// Partitions that the node owns, with their queued tokens.
    pub owned: Vec<(u16, Report)>,
    /// Addresses of some other nodes, for peer discovery.
    pub peers: Vec<SocketAddr>,
    /// Fingerprints of requests that are suspected of crashing upstreams.
    pub suspects: Vec<Suspect>,
    /// The node is shutting down; receivers remove it from their peers.
    pub leaving: bool,
    /// Origins of streams that the node has begun. Encoded after the other fields, where older
    /// nodes ignore it.
    #[serde(skip)]
    pub news: News,
    /// What the node reports about parts of prompts. Encoded after the news.
    #[serde(skip)]
    pub parts: parts::Report,
    /// What the node reports about rate limits of upstreams. Encoded after the parts.
    #[serde(skip)]
    pub limits: Vec<limit::Report>,
    /// Data centre of the sender. Encoded after the limits.
    #[serde(skip)]
    pub data_centre: DataCentreDigest,
    /// Data centres of `peers`, in their order. Empty in messages of older nodes.
    #[serde(skip)]
    pub data_centres: Vec<DataCentreDigest>,
    /// What the sender says of itself as a forwarder. Encoded after the data centres; `None` in
    /// messages of older nodes.
    #[serde(skip)]
    pub offer: Option<Offer>,
    /// Some other nodes that can forward requests. Encoded after the offer.
    #[serde(skip)]
    pub forwarders: Vec<Notice>,
    /// Paces of upstreams that the node has read since its last message. Encoded last; not at all
    /// without any.
    #[serde(skip)]
    pub paces: Vec<pace::Report>,
}

impl Message {
    pub fn encode(&self) -> Result<Vec<u8>> {
        let ready = self.owned.iter().map(|(_, report)| &report.ready_by_service);
        let ready: Vec<&BTreeMap<Service, Vec<Bucket>>> = ready.collect();
        let mut bytes = postcard::to_stdvec(self)?;
        bytes.extend(postcard::to_stdvec(&(&self.news, ready))?);
        bytes.extend(postcard::to_stdvec(&(&self.parts, &self.limits))?);
        bytes.extend(postcard::to_stdvec(&(&self.data_centre, &self.data_centres))?);
        bytes.extend(postcard::to_stdvec(&(&self.offer, &self.forwarders))?);
        if !self.paces.is_empty() {
            bytes.extend(postcard::to_stdvec(&self.paces)?);
        }
        Ok(bytes)
    }

    pub fn decode(bytes: &[u8]) -> Result<Message> {
        let (mut message, mut rest): (Message, &[u8]) = postcard::take_from_bytes(bytes)?;
        if !rest.is_empty() {
            let ready;
            let news: (News, Vec<BTreeMap<Service, Vec<Bucket>>>);
            (news, rest) = postcard::take_from_bytes(rest)?;
            (message.news, ready) = news;
            if !rest.is_empty() {
                ((message.parts, message.limits), rest) = postcard::take_from_bytes(rest)?;
            }
            if !rest.is_empty() {
                ((message.data_centre, message.data_centres), rest) =
                    postcard::take_from_bytes(rest)?;
            }
            if !rest.is_empty() {
                ((message.offer, message.forwarders), rest) = postcard::take_from_bytes(rest)?;
            }
            if !rest.is_empty() {
                message.paces = postcard::from_bytes(rest)?;
            }
            for ((_, report), ready) in message.owned.iter_mut().zip(ready) {
                report.ready_by_service = ready;
            }
        }
        Ok(message)
    }
}
