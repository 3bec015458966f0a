//! Identifiers shared by the slices. Each is a newtype with `Display` and `FromStr`.

use std::{convert::Infallible, fmt, str::FromStr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<$name, Infallible> {
                Ok($name(text.to_string()))
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(text.to_string())
            }
        }
    )*};
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($repr:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<$name, std::num::ParseIntError> {
                text.parse().map($name)
            }
        }
    )*};
}

text_id! {
    /// A virtual machine: an entry VM that runs this daemon, or one that runs upstreams.
    Vm;
    /// A data centre. Links between data centres are slower and dearer than links inside one.
    DataCentre;
    /// A customer's workspace: the unit of limits, fairness and isolation.
    Workspace;
    /// One back end: a replica of a deployment or of a plain service.
    Upstream;
    /// A group of interchangeable upstreams that serve one model.
    Deployment;
    /// A plain service, or the name under which one is called.
    Service;
    /// A model as callers name it. An adapter is written `model:adapter`.
    Model;
    /// A team that owns one piece of the environment document.
    Team;
    /// An environment, such as `trial` or `production`.
    Environment;
    /// A route of the configuration.
    Route;
    /// A batch job.
    Job;
    /// An uploaded file or a file of results.
    File;
    /// A stream of the platform's log.
    Stream;
}

number_id! {
    /// The position of a record in its stream.
    Offset(u64);
    /// A number that grows with each claim of a partition; the highest claim owns the partition.
    Epoch(u64);
    /// A partition of the batch jobs. Each partition has a stream of its own and at most one owner.
    Partition(u16);
    /// One run of a process: greater for each restart of the same VM.
    Incarnation(u64);
    /// The index of an item in its job, counted from zero.
    Item(u32);
}
