//! The stand-ins as roles of one process each.
//!
//! A tool that needs several processes starts its own executable again: [`reenter`] runs a role
//! when the first argument is [`ARGUMENT`].

use std::{env, io::Read, net::SocketAddr, path::PathBuf, process, process::ExitCode, thread};

use bpaf::Bpaf;
use bulrushspread::{node, settings::Settings, telemetry};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
};

use crate::{engine, log_service, plain, proxy, vm_list, weights};

pub type Result<T> = anyhow::Result<T>;

/// The first argument that turns an executable of this package into a stand-in.
pub const ARGUMENT: &str = "standin";
/// Filter of the stand-ins' logs.
const LOG_FILTER: &str = "info";

/// What a stand-in writes to stdout as one JSON line once it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ready {
    pub role: String,
    pub address: SocketAddr,
    /// Where `/control` is served.
    pub control: SocketAddr,
}

/// Where a stand-in listens and how it behaves at first.
#[derive(Clone, Debug, Bpaf)]
pub struct Start {
    /// Address to listen on.
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Settings as JSON, those that differ from the defaults.
    #[bpaf(argument("JSON"), fallback("{}".to_string()))]
    settings: String,
    /// Ends the process once stdin closes.
    #[bpaf(switch)]
    until_stdin_closes: bool,
}

/// Runs one stand-in or one node.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub enum Role {
    /// The platform's log service.
    #[bpaf(command)]
    Log(#[bpaf(external(start))] Start),
    /// The platform's VM list.
    #[bpaf(command)]
    VmList(#[bpaf(external(start))] Start),
    /// A model engine.
    #[bpaf(command)]
    Engine(#[bpaf(external(start))] Start),
    /// A plain service.
    #[bpaf(command)]
    Plain(#[bpaf(external(start))] Start),
    /// The platform's weight store.
    #[bpaf(command)]
    Weights(#[bpaf(external(start))] Start),
    /// A fault proxy for TCP and UDP.
    #[bpaf(command)]
    Proxy(#[bpaf(external(start))] Start),
    /// A node of the system.
    #[bpaf(command)]
    Node {
        /// Ends the process once stdin closes.
        #[bpaf(switch)]
        until_stdin_closes: bool,
        /// The settings file of the node.
        #[bpaf(positional("SETTINGS"))]
        file: PathBuf,
    },
}

/// Runs the role that the arguments name, if the first of them is [`ARGUMENT`].
pub fn reenter() -> Option<ExitCode> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if arguments.first()? != ARGUMENT {
        return None;
    }
    let rest: Vec<&str> = arguments[1..].iter().map(String::as_str).collect();
    match role().run_inner(rest.as_slice()) {
        Ok(role) => Some(execute(role)),
        Err(failure) => {
            failure.print_message(100);
            Some(ExitCode::FAILURE)
        }
    }
}

/// Runs a role to its end.
pub fn execute(role: Role) -> ExitCode {
    match run(role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(role: Role) -> Result<()> {
    if let Role::Node { until_stdin_closes, file } = role {
        tie_to_stdin(until_stdin_closes);
        let settings = Settings::load(&file)?;
        telemetry::start_log(&settings.telemetry.log);
        return Runtime::new()?.block_on(node::run(settings));
    }
    telemetry::start_log(LOG_FILTER);
    Builder::new_current_thread().enable_all().build()?.block_on(serve(role))
}

async fn serve(role: Role) -> Result<()> {
    match role {
        Role::Log(start) => {
            let (listener, settings) = start.listen("log").await?;
            log_service::serve(listener, settings).await
        }
        Role::VmList(start) => {
            let (listener, settings) = start.listen("vm-list").await?;
            vm_list::serve(listener, settings).await
        }
        Role::Engine(start) => {
            let (listener, settings) = start.listen("engine").await?;
            engine::serve(listener, settings).await
        }
        Role::Plain(start) => {
            let (listener, settings) = start.listen("plain").await?;
            plain::serve(listener, settings).await
        }
        Role::Weights(start) => {
            let (listener, settings) = start.listen("weights").await?;
            weights::serve(listener, settings).await
        }
        Role::Proxy(start) => {
            let sockets = proxy::Sockets::bind(start.listen).await?;
            let settings = start.settings()?;
            announce("proxy", sockets.address()?, sockets.control()?)?;
            proxy::serve(sockets, settings).await
        }
        Role::Node { .. } => Ok(()),
    }
}

impl Start {
    /// Binds the listener, parses the settings and announces the address.
    async fn listen<T: DeserializeOwned>(&self, role: &str) -> Result<(TcpListener, T)> {
        let settings = self.settings()?;
        let listener = TcpListener::bind(self.listen).await?;
        let address = listener.local_addr()?;
        announce(role, address, address)?;
        Ok((listener, settings))
    }

    fn settings<T: DeserializeOwned>(&self) -> Result<T> {
        tie_to_stdin(self.until_stdin_closes);
        Ok(serde_json::from_str(&self.settings)?)
    }
}

fn announce(role: &str, address: SocketAddr, control: SocketAddr) -> Result<()> {
    let ready = Ready { role: role.to_string(), address, control };
    println!("{}", serde_json::to_string(&ready)?);
    Ok(())
}

/// Ends the process when whoever started it is gone.
fn tie_to_stdin(until_stdin_closes: bool) {
    if !until_stdin_closes {
        return;
    }
    thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        process::exit(0);
    });
}
