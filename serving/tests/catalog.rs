//! Route lookup by host and longest prefix, weighted selection of services, and updates.

use std::collections::BTreeMap;

use serving::{
    catalog::{Catalog, Kind, Limits, Route, Share, State},
    id::Service,
    time::Millis,
};

fn route(id: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    let share =
        |(service, weight): &(&str, u32)| Share { service: (*service).into(), weight: *weight };
    Route {
        id: id.into(),
        host: host.to_string(),
        prefix: prefix.to_string(),
        is_public: false,
        kind: Kind::Idempotent,
        split: split.iter().map(share).collect(),
        timeout: Millis(1_000),
        latency_objective: Millis(100),
        max_attempts: 1,
        priority: 0,
        results_due: Millis(0),
        abandon_after: Millis(0),
        token_quota: 0,
    }
}

fn catalog(version: u64) -> Catalog {
    let routes = vec![
        route("short", "a.example", "/x/", &[("one", 1)]),
        route("long", "a.example", "/x/y/", &[("one", 1)]),
        route("other", "b.example", "/", &[("one", 1)]),
    ];
    Catalog::new(version, Limits::default(), routes)
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let catalog = catalog(1);
    let find_id = |host, path| catalog.find(host, path).map(|route| route.id.to_string());
    assert_eq!(find_id("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(find_id("a.example", "/x/yz").as_deref(), Some("short"));
    assert_eq!(find_id("a.example", "/q"), None);
    assert_eq!(find_id("b.example", "/q").as_deref(), Some("other"));
    assert_eq!(find_id("c.example", "/x/"), None);
}

#[test]
fn services_are_selected_by_weight() {
    let route = route("split", "a.example", "/", &[("one", 90), ("two", 10), ("none", 0)]);
    let mut counts: BTreeMap<Service, u32> = BTreeMap::new();
    for index in 0..1_000 {
        *counts.entry(route.select_service(f64::from(index) / 1_000.0).clone()).or_default() += 1;
    }
    assert_eq!(counts, BTreeMap::from([("one".into(), 900), ("two".into(), 100)]));
    assert!(!counts.contains_key(&"none".into()), "a service with weight 0 is never selected");
}

#[test]
fn only_newer_versions_replace_the_configuration() {
    let mut state = State::default();
    assert!(state.update(catalog(7)));
    assert!(!state.update(catalog(7)));
    assert!(!state.update(catalog(3)));
    assert!(state.update(catalog(12)));
    assert_eq!(state.current().unwrap().version, 12);
}
