//! Stand-ins of a fleet as processes.

use std::{net::SocketAddr, path::Path};

use anyhow::Context;
use http::Method;
use serde_json::{Value, json};

use crate::{
    client::{Call, Client},
    proxy::Mode,
    role,
};

use super::{
    Result,
    process::{Process, Program},
};

/// A running stand-in.
pub struct Standin {
    pub address: SocketAddr,
    pub process: Process,
    control: SocketAddr,
    client: Client,
    restart: Restart,
}

/// How the stand-in is started again.
struct Restart {
    program: Program,
    directory: std::path::PathBuf,
    role: String,
    name: String,
    settings: Value,
}

impl Restart {
    async fn start(&self, listen: SocketAddr) -> Result<(Process, role::Ready)> {
        let arguments = [
            self.role.clone(),
            "--until-stdin-closes".to_string(),
            "--listen".to_string(),
            listen.to_string(),
            "--settings".to_string(),
            self.settings.to_string(),
        ];
        Process::start(&self.program, &arguments, &self.directory, &self.name).await
    }
}

impl Standin {
    /// Starts the stand-in of a role on a free port.
    pub async fn start(
        program: &Program,
        directory: &Path,
        role: &str,
        name: &str,
        settings: Value,
    ) -> Result<Standin> {
        let restart = Restart {
            program: program.clone(),
            directory: directory.to_path_buf(),
            role: role.to_string(),
            name: name.to_string(),
            settings,
        };
        let (process, ready) = restart.start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        Ok(Standin {
            address: ready.address,
            control: ready.control,
            process,
            client: Client::default(),
            restart,
        })
    }

    /// Starts the stand-in again at its address, once it has ended.
    pub async fn restart(&mut self) -> Result<()> {
        self.process.kill().await?;
        let (process, ready) = self.restart.start(self.address).await?;
        self.process = process;
        self.control = ready.control;
        Ok(())
    }

    /// Sets settings and faults.
    pub async fn set(&self, settings: Value) -> Result<Value> {
        self.post("/control", &settings).await
    }

    /// Reads settings and counts.
    pub async fn state(&self) -> Result<Value> {
        let answer = self.client.send(self.control, Call::get("/control")).await?;
        answer.success()?.json()
    }

    /// One number of the counts, zero where there is none.
    pub async fn count(&self, pointer: &str) -> Result<u64> {
        Ok(self.state().await?.pointer(pointer).and_then(Value::as_u64).unwrap_or_default())
    }

    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        let call = Call::new(Method::POST, path).json(body);
        let answer = self.client.send(self.control, call).await?;
        answer.success()?.json().context("the stand-in's control")
    }
}

/// A running fault proxy.
pub struct Proxy {
    pub address: SocketAddr,
    standin: Standin,
}

impl Proxy {
    /// Starts a proxy; it relays nothing until it has a target.
    pub async fn start(
        program: &Program,
        directory: &Path,
        name: &str,
        target: Option<SocketAddr>,
    ) -> Result<Proxy> {
        let settings = json!({ "target": target });
        let name = format!("{name}-proxy");
        let standin = Standin::start(program, directory, "proxy", &name, settings).await?;
        Ok(Proxy { address: standin.address, standin })
    }

    pub async fn set_target(&self, target: SocketAddr) -> Result<()> {
        self.set(json!({ "target": target })).await
    }

    pub async fn set_mode(&self, mode: Mode) -> Result<()> {
        self.set(json!({ "mode": mode })).await
    }

    /// Sets any of the proxy's settings.
    pub async fn set(&self, settings: Value) -> Result<()> {
        self.standin.set(settings).await.map(drop)
    }
}
