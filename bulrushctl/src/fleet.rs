//! What a node believes of the fleet and of itself.

use bulrushspread::operator::view::{Health, Members, Upstreams};

use crate::{
    Result,
    client::Client,
    output::{Output, table},
};

pub(crate) async fn members(client: &Client, output: Output) -> Result<()> {
    let members: Members = client.get("/v1/members").await?;
    output.print(&members, |members| {
        let rows = members.members.iter().map(|it| {
            let state = state(it.leaving);
            vec![it.vm.to_string(), it.address.clone(), it.data_centre.to_string(), state]
        });
        table(&rows.collect::<Vec<_>>())
    })
}

pub(crate) async fn upstreams(client: &Client, output: Output) -> Result<()> {
    let upstreams: Upstreams = client.get("/v1/upstreams").await?;
    output.print(&upstreams, |upstreams| {
        let rows = upstreams.upstreams.iter().map(|it| {
            let (name, place) = (it.upstream.to_string(), it.data_centre.to_string());
            vec![name, it.serves.clone(), it.address.clone(), place, state(it.leaving)]
        });
        table(&rows.collect::<Vec<_>>())
    })
}

pub(crate) async fn health(client: &Client, output: Output) -> Result<()> {
    let health: Health = client.get("/v1/health").await?;
    output.print(&health, |health| {
        let read = match health.config_caught_up {
            true => "read to its end",
            false => "not yet read to its end",
        };
        let Health { vm, phase, config_offset, .. } = health;
        format!("{vm} is {phase}; configuration in force up to {config_offset}, stream {read}")
    })
}

fn state(leaving: bool) -> String {
    if leaving { "leaving" } else { "live" }.to_string()
}
