//! The endpoints of the operators' listener.

use dropshot::{ApiDescription, HttpResponseOk, Path, Query, RequestContext, TypedBody, endpoint};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::{
    config::{self, Piece, check, publish, record::Operation},
    error::{self, Error, Kind},
    id::{Environment, Offset, Team},
    node::{Phase, Shared},
};

use super::{
    refusal::Result,
    token,
    view::{
        EnvironmentView, Health, History, InForce, Member, Members, PieceView, Promote, Publish,
        Published, UpstreamView, Upstreams,
    },
};

/// Who is named as the author of a change that names none.
const UNNAMED_AUTHOR: &str = "operator";

type Request = RequestContext<Shared>;

#[derive(Deserialize, JsonSchema)]
struct EnvironmentPath {
    environment: Environment,
}

#[derive(Deserialize, JsonSchema)]
struct PiecePath {
    environment: Environment,
    team: Team,
}

/// How a change is to be carried out.
#[derive(Deserialize, JsonSchema)]
struct Mode {
    /// Checks the change against the document in force and writes nothing.
    #[serde(default)]
    dry_run: bool,
}

#[derive(Deserialize, JsonSchema)]
struct Deletion {
    /// The version of the piece that is deleted.
    base: u64,
    author: Option<String>,
    /// Checks the change against the document in force and writes nothing.
    #[serde(default)]
    dry_run: bool,
}

/// All endpoints.
pub(crate) fn describe() -> std::result::Result<ApiDescription<Shared>, String> {
    let mut api = ApiDescription::new();
    let failed = |error: dropshot::ApiDescriptionRegisterError| error.to_string();
    api.register(get_environment).map_err(failed)?;
    api.register(get_history).map_err(failed)?;
    api.register(get_in_force).map_err(failed)?;
    api.register(put_piece).map_err(failed)?;
    api.register(delete_piece).map_err(failed)?;
    api.register(post_promotion).map_err(failed)?;
    api.register(get_health).map_err(failed)?;
    api.register(get_ready).map_err(failed)?;
    api.register(get_members).map_err(failed)?;
    api.register(get_upstreams).map_err(failed)?;
    Ok(api)
}

/// The OpenAPI document of the listener.
pub fn openapi() -> std::result::Result<String, String> {
    let version = semver::Version::new(1, 0, 0);
    let document = describe()?.openapi("bulrushspread operators", version).json();
    let document = document.map_err(|error| error.to_string())?;
    let text = serde_json::to_string_pretty(&document).map_err(|error| error.to_string())?;
    Ok(text + "\n")
}

/// The document of an environment, with the version of each piece.
#[endpoint { method = GET, path = "/v1/environments/{environment}" }]
async fn get_environment(
    request: Request,
    path: Path<EnvironmentPath>,
) -> Result<HttpResponseOk<EnvironmentView>> {
    let context = authorize(&request)?;
    Ok(HttpResponseOk(environment_view(context, path.into_inner().environment)))
}

/// The latest changes of an environment, oldest first.
#[endpoint { method = GET, path = "/v1/environments/{environment}/history" }]
async fn get_history(
    request: Request,
    path: Path<EnvironmentPath>,
) -> Result<HttpResponseOk<History>> {
    let context = authorize(&request)?;
    let reader = context.config.reader();
    let declared = reader.state().environments.get(&path.into_inner().environment);
    let changes = declared.map(|declared| declared.history.iter().cloned().collect());
    Ok(HttpResponseOk(History { changes: changes.unwrap_or_default() }))
}

/// How far each live node has folded the configuration stream.
#[endpoint { method = GET, path = "/v1/environments/{environment}/in-force" }]
async fn get_in_force(
    request: Request,
    _path: Path<EnvironmentPath>,
) -> Result<HttpResponseOk<InForce>> {
    let context = authorize(&request)?;
    let nodes = config::task::heads(context).await.into_iter().collect();
    Ok(HttpResponseOk(InForce { offset: context.config.head().next, nodes }))
}

/// Replaces the piece of a team, unless another change of it came first.
#[endpoint { method = PUT, path = "/v1/environments/{environment}/pieces/{team}" }]
async fn put_piece(
    request: Request,
    path: Path<PiecePath>,
    mode: Query<Mode>,
    body: TypedBody<Publish>,
) -> Result<HttpResponseOk<Published>> {
    let context = authorize(&request)?;
    let body = body.into_inner();
    check_piece(&body.piece)?;
    let content = serde_json::to_string(&body.piece)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    let path = path.into_inner();
    let operation = Operation::Publish(config::record::Publish {
        environment: path.environment,
        team: path.team,
        base: body.base.unwrap_or(0),
        author: body.author.unwrap_or_else(|| UNNAMED_AUTHOR.to_string()),
        at: context.clock.wall_time(),
        claims: check::claims(&body.piece),
        content: Some(content),
    });
    carry_out(context, operation, mode.into_inner().dry_run).await
}

/// Deletes the piece of a team, unless another change of it came first.
#[endpoint { method = DELETE, path = "/v1/environments/{environment}/pieces/{team}" }]
async fn delete_piece(
    request: Request,
    path: Path<PiecePath>,
    query: Query<Deletion>,
) -> Result<HttpResponseOk<Published>> {
    let context = authorize(&request)?;
    let (path, query) = (path.into_inner(), query.into_inner());
    let operation = Operation::Publish(config::record::Publish {
        environment: path.environment,
        team: path.team,
        base: query.base,
        author: query.author.unwrap_or_else(|| UNNAMED_AUTHOR.to_string()),
        at: context.clock.wall_time(),
        claims: Default::default(),
        content: None,
    });
    carry_out(context, operation, query.dry_run).await
}

/// Replaces the document of an environment by that of another one.
#[endpoint { method = POST, path = "/v1/environments/{environment}/promotions" }]
async fn post_promotion(
    request: Request,
    path: Path<EnvironmentPath>,
    mode: Query<Mode>,
    body: TypedBody<Promote>,
) -> Result<HttpResponseOk<Published>> {
    let context = authorize(&request)?;
    let body = body.into_inner();
    let operation = Operation::Promote(config::record::Promote {
        from: body.from,
        version: body.version,
        to: path.into_inner().environment,
        base: body.base.unwrap_or(0),
        author: body.author.unwrap_or_else(|| UNNAMED_AUTHOR.to_string()),
        at: context.clock.wall_time(),
    });
    carry_out(context, operation, mode.into_inner().dry_run).await
}

/// Where this node stands. Answers while the process runs; needs no token.
#[endpoint { method = GET, path = "/v1/health" }]
async fn get_health(request: Request) -> Result<HttpResponseOk<Health>> {
    Ok(HttpResponseOk(health(request.context())))
}

/// Whether this node takes requests; needs no token.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(request: Request) -> Result<HttpResponseOk<Health>> {
    let health = health(request.context());
    if health.phase != "serving" {
        let message = format!("the node is {}", health.phase);
        return Err(Error::new(Kind::Draining, message).into());
    }
    if health.config_offset == Offset(0) && !health.config_caught_up {
        let message = "no configuration has been read yet, neither from the log nor from a peer";
        return Err(Error::new(Kind::LogUnavailable, message).into());
    }
    Ok(HttpResponseOk(health))
}

/// The nodes that are not known to be gone.
#[endpoint { method = GET, path = "/v1/members" }]
async fn get_members(request: Request) -> Result<HttpResponseOk<Members>> {
    let view = authorize(&request)?.membership.view();
    let member = |(vm, node): (&crate::id::Vm, &crate::membership::view::Node)| Member {
        vm: vm.clone(),
        address: node.address.to_string(),
        data_centre: node.data_centre.clone(),
        incarnation: node.incarnation,
        leaving: node.leaving,
    };
    Ok(HttpResponseOk(Members { members: view.nodes.iter().map(member).collect() }))
}

/// The upstreams that are not known to be gone.
#[endpoint { method = GET, path = "/v1/upstreams" }]
async fn get_upstreams(request: Request) -> Result<HttpResponseOk<Upstreams>> {
    let view = authorize(&request)?.membership.view();
    let upstreams = view.upstreams.iter().map(|(upstream, replica)| UpstreamView {
        upstream: upstream.clone(),
        serves: replica.serves.clone(),
        address: replica.address.to_string(),
        data_centre: replica.data_centre.clone(),
        leaving: replica.leaving,
    });
    Ok(HttpResponseOk(Upstreams { upstreams: upstreams.collect() }))
}

fn authorize(request: &Request) -> error::Result<&Shared> {
    let context = request.context();
    token::check(&context.settings.operator, request.request.headers())?;
    Ok(context)
}

fn check_piece(piece: &Piece) -> error::Result<()> {
    let problems = check::check(piece);
    if problems.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    Err(Error::new(Kind::BadRequest, lines.join("; ")))
}

async fn carry_out(
    context: &Shared,
    operation: Operation,
    dry_run: bool,
) -> Result<HttpResponseOk<Published>> {
    let accepted = match dry_run {
        true => publish::dry_run(context, &operation)?,
        false => publish::publish(context, operation).await?,
    };
    Ok(HttpResponseOk(Published { version: accepted.version, offset: accepted.offset }))
}

fn environment_view(context: &Shared, environment: Environment) -> EnvironmentView {
    let reader = context.config.reader();
    let document = reader.document(&environment);
    let state = reader.state();
    let declared = state.environments.get(&environment).cloned().unwrap_or_default();
    let piece = |(team, stored): (&Team, &config::record::Stored)| {
        let view = PieceView {
            version: stored.version,
            author: stored.author.clone(),
            digest: stored.digest.clone(),
            readable: reader.is_readable(&environment, team, stored),
        };
        (team.clone(), view)
    };
    let pieces = declared.pieces.iter().map(piece).collect();
    let (version, offset) = (declared.version, state.next);
    EnvironmentView { environment, version, offset, document, pieces }
}

fn health(context: &Shared) -> Health {
    let phase = match *context.phase.borrow() {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Draining => "draining",
    };
    let traffic = context.peer.traffic();
    Health {
        phase: phase.to_string(),
        vm: context.settings.vm.clone(),
        config_offset: context.config.head().next,
        config_caught_up: context.config.reader().caught_up(),
        peer_sent_bytes: traffic.sent,
        peer_received_bytes: traffic.received,
    }
}
