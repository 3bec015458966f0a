//! Reads and changes the environment document.

use std::{collections::BTreeMap, fs, path::Path, time::Duration};

use bulrushspread::{
    config::{Piece, check},
    id::{Environment, Offset, Team},
    operator::view::{EnvironmentView, History, InForce, Promote, Publish, Published},
};
use platform::operator::check::{self as platform_check, Severity};
use serde_json::Value;

use crate::{
    Failure, Result,
    arguments::{Config, Place},
    client::Client,
    output::{Output, table},
};

/// Time that `--wait` gives the nodes.
const WAIT_S: u64 = 30;
/// Time between two questions which nodes have the change in force.
const POLL: Duration = Duration::from_millis(200);

pub(crate) async fn run(client: &Client, output: Output, command: Config) -> Result<()> {
    match command {
        Config::Get { environment } => {
            let view = get(client, &environment).await?;
            output.print(&view, pretty)
        }
        Config::Apply { place, base, author, dry_run, wait, file } => {
            let piece = read_piece(&file)?;
            let base = match base {
                Some(base) => base,
                None => version_in_force(client, &place).await?,
            };
            let Place { environment, team } = &place;
            let path = format!("/v1/environments/{environment}/pieces/{team}?dry_run={dry_run}");
            let body = Publish { base: Some(base), author, piece };
            let published: Published = client.put(&path, &body).await?;
            if wait && !dry_run {
                wait_in_force(client, environment, published.offset).await?;
            }
            output.print(&published, |it| done(dry_run, wait, it))
        }
        Config::Check { against, strict, file } => {
            check_platform(output, &file, against.as_deref(), strict)
        }
        Config::Diff { place, file } => diff(client, output, &place, &file).await,
        Config::Promote { from, to, version, base, author, wait } => {
            let version = match version {
                Some(version) => version,
                None => get(client, &from).await?.version,
            };
            let base = match base {
                Some(base) => base,
                None => get(client, &to).await?.version,
            };
            let from = Environment(from);
            let body = Promote { from, version, base: Some(base), author };
            let path = format!("/v1/environments/{to}/promotions");
            let published: Published = client.post(&path, &[], &body).await?;
            if wait {
                wait_in_force(client, &to, published.offset).await?;
            }
            output.print(&published, |it| done(false, wait, it))
        }
        Config::History { environment } => {
            let path = format!("/v1/environments/{environment}/history");
            let history: History = client.get(&path).await?;
            output.print(&history, list_changes)
        }
    }
}

async fn get(client: &Client, environment: &str) -> Result<EnvironmentView> {
    client.get(&format!("/v1/environments/{environment}")).await
}

async fn version_in_force(client: &Client, place: &Place) -> Result<u64> {
    let view = get(client, &place.environment).await?;
    Ok(view.pieces.get(&Team(place.team.clone())).map_or(0, |piece| piece.version))
}

/// Reads and checks a piece before anything is sent.
fn read_piece(file: &Path) -> Result<Piece> {
    let name = file.display();
    let text = fs::read_to_string(file)
        .map_err(|error| Failure::Usage(format!("{name} can't be read: {error}")))?;
    let piece: Piece = serde_json::from_str(&text)
        .map_err(|error| Failure::Usage(format!("{name} is not a piece: {error}")))?;
    let problems: Vec<String> = check::check(&piece).iter().map(ToString::to_string).collect();
    match problems.is_empty() {
        true => Ok(piece),
        false => Err(Failure::Usage(format!("{name}:\n  {}", problems.join("\n  ")))),
    }
}

/// Checks a configuration in the platform's format.
fn check_platform(
    output: Output,
    file: &Path,
    against: Option<&Path>,
    is_strict: bool,
) -> Result<()> {
    let read = |file: &Path| {
        fs::read(file).map_err(|error| Failure::Usage(format!("{}: {error}", file.display())))
    };
    let (bytes, in_force) = (read(file)?, against.map(read).transpose()?);
    let report = platform_check::check(&bytes, in_force.as_deref())
        .map_err(|error| Failure::Usage(error.to_string()))?;
    let (errors, warnings) = (report.count(Severity::Error), report.count(Severity::Warning));
    output.print(&report, ToString::to_string)?;
    match errors > 0 || (is_strict && warnings > 0) {
        true => Err(Failure::Local("the configuration should not be sent as it is".to_string())),
        false => Ok(()),
    }
}

async fn diff(client: &Client, output: Output, place: &Place, file: &Path) -> Result<()> {
    let piece = read_piece(file)?;
    let view = get(client, &place.environment).await?;
    let in_force = view.document.pieces.get(&Team(place.team.clone()));
    let (old, new) = (flatten(in_force), flatten(Some(&piece)));
    let mut lines = Vec::new();
    for (path, value) in &old {
        if new.get(path) != Some(value) {
            lines.push(format!("- {path}: {value}"));
        }
    }
    for (path, value) in &new {
        if old.get(path) != Some(value) {
            lines.push(format!("+ {path}: {value}"));
        }
    }
    lines.sort_by(|a, b| a[2..].cmp(&b[2..]));
    output.print(&lines, |lines| match lines.is_empty() {
        true => "no differences".to_string(),
        false => lines.join("\n"),
    })
}

/// The leaves of a piece by path.
fn flatten(piece: Option<&Piece>) -> BTreeMap<String, String> {
    fn visit(path: &str, value: &Value, leaves: &mut BTreeMap<String, String>) {
        match value {
            Value::Object(keys) => {
                for (key, value) in keys {
                    let dot = if path.is_empty() { "" } else { "." };
                    visit(&format!("{path}{dot}{key}"), value, leaves);
                }
            }
            leaf => drop(leaves.insert(path.to_string(), leaf.to_string())),
        }
    }
    let mut leaves = BTreeMap::new();
    let value = piece.and_then(|piece| serde_json::to_value(piece).ok()).unwrap_or_default();
    if value.is_object() {
        visit("", &value, &mut leaves);
    }
    leaves
}

async fn wait_in_force(client: &Client, environment: &str, offset: Offset) -> Result<()> {
    let path = format!("/v1/environments/{environment}/in-force");
    let start = std::time::Instant::now();
    loop {
        let in_force: InForce = client.get(&path).await?;
        let behind = in_force.nodes.iter().filter(|(_, at)| at.is_none_or(|at| at < offset));
        let behind: Vec<String> = behind.map(|(vm, _)| vm.to_string()).collect();
        if behind.is_empty() {
            return Ok(());
        }
        if start.elapsed().as_secs() >= WAIT_S {
            return Err(Failure::NotInForce { seconds: WAIT_S, nodes: behind.join(", ") });
        }
        tokio::time::sleep(POLL).await;
    }
}

fn done(dry_run: bool, wait: bool, published: &Published) -> String {
    let Published { version, offset } = published;
    match (dry_run, wait) {
        (true, _) => format!("would become version {version}"),
        (false, true) => format!("version {version}, in force on every live node"),
        (false, false) => format!("version {version}, in force from offset {offset}"),
    }
}

fn pretty(view: &EnvironmentView) -> String {
    serde_json::to_string_pretty(view).unwrap_or_default()
}

fn list_changes(history: &History) -> String {
    let rows = history.changes.iter().map(|change| {
        let pieces = change.pieces.iter().map(|(team, version)| format!("{team}@{version}"));
        let pieces = pieces.collect::<Vec<_>>().join(",");
        let promoted = change.promoted.as_ref();
        let source = promoted.map(|it| format!("from {} {}", it.from, it.version));
        let (version, author) = (change.version.to_string(), change.author.clone());
        vec![version, author, pieces, source.unwrap_or_default()]
    });
    table(&rows.collect::<Vec<_>>())
}
