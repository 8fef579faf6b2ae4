//! The experiment's own calls, under `/test`: configurations, faults, and what became of the group.

use std::time::Duration;

use rocket::{
    get,
    http::Status,
    put, routes,
    serde::json::{
        serde_json::{json, Value},
        Json,
    },
    Route, State,
};

use super::{
    database::{Fault, Promotion},
    Shared,
};

/// How long after the store came back from a copy the operators write what it lacks.
const OPERATORS_RETURN: Duration = Duration::from_millis(300);

/// All of the experiment's calls.
pub fn routes() -> Vec<Route> {
    routes![config, fault, restart, entry, store, group, cut_from, promotions, heir, restore]
}

/// Prints what was done to a server, with the time as the proxies' log lines give it.
pub fn journal(what: &str, server: usize, more: &str) {
    let uptime = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let seconds = uptime.split(' ').next().and_then(|text| text.parse().ok());
    let at_ms = (seconds.unwrap_or(0.0_f64) * 1_000.0) as u64;
    let line = json!({ "at_ms": at_ms, "standin": what, "server": server, "more": more });
    crate::announce(&line.to_string());
}

/// Puts a configuration, as the operators do.
#[put("/config", data = "<body>")]
fn config(shared: &State<Shared>, body: String) {
    shared.change(|world| {
        world.config = body.into_bytes();
        world.store.put("op/config", world.config.clone());
    });
}

/// Brings the store back from a copy of this age in milliseconds. The operators put their configuration
/// again some time later.
#[put("/restore/<age_ms>")]
async fn restore(shared: &State<Shared>, age_ms: u64) {
    journal("store restored", 0, &age_ms.to_string());
    shared.change(|world| world.store.restore(Duration::from_millis(age_ms)));
    let shared = shared.inner().clone();
    rocket::tokio::spawn(async move {
        rocket::tokio::time::sleep(OPERATORS_RETURN).await;
        shared.change(|world| world.store.put("op/config", world.config.clone()));
    });
}

/// Starts a server again under its id, with nothing of its earlier life.
#[put("/server/<index>/restart", rank = 1)]
fn restart(shared: &State<Shared>, index: usize) -> Status {
    journal("restart", index, "");
    shared.change(|world| match index < world.database.servers.len() {
        true => {
            world.database.restart(index);
            Status::Ok
        }
        false => Status::NotFound,
    })
}

/// Puts an entry among the registrations, as another writer would.
#[put("/entry/<id>", data = "<body>")]
fn entry(shared: &State<Shared>, id: &str, body: Vec<u8>) {
    shared.change(|world| world.store.put(&format!("servers/{id}"), body));
}

/// Changes one fault of one server.
#[put("/server/<index>/<fault>/<on>")]
fn fault(shared: &State<Shared>, index: usize, fault: &str, on: bool) -> Status {
    journal(fault, index, if on { "on" } else { "off" });
    shared.change(|world| {
        let Some(server) = world.database.servers.get_mut(index) else {
            return Status::NotFound;
        };
        let Fault {
            dead,
            silent,
            crashed,
            cut,
            cut_from: _,
            deaf,
            leaving,
            unlisted,
            busy,
            crowded,
        } = &mut server.fault;
        let flag = match fault {
            "dead" => dead,
            "silent" => silent,
            "crashed" => crashed,
            "cut" => cut,
            "deaf" => deaf,
            "leaving" => leaving,
            "unlisted" => unlisted,
            "busy" => busy,
            "crowded" => crowded,
            _ => return Status::NotFound,
        };
        let comes_back = std::mem::replace(flag, on) && !on && fault == "crashed";
        if comes_back {
            world.database.come_back(index);
        }
        Status::Ok
    })
}

/// Cuts a server off from one other, or joins them again.
#[put("/server/<index>/cut_from/<other>/<on>")]
fn cut_from(shared: &State<Shared>, index: usize, other: usize, on: bool) -> Status {
    journal("cut from", index, &format!("{other} {on}"));
    shared.change(|world| match world.database.servers.get_mut(index) {
        Some(server) => {
            server.fault.cut_from = on.then_some(other);
            Status::Ok
        }
        None => Status::NotFound,
    })
}

/// Has the server that is next called to be promoted crowded from that call on.
#[put("/heir/<crowded_ms>")]
fn heir(shared: &State<Shared>, crowded_ms: u64) {
    let lasts = Duration::from_millis(crowded_ms);
    shared.change(|world| world.database.heir_crowded = Some(lasts));
}

/// Takes the store down or brings it back, or makes it forget its history.
#[put("/store/<what>/<on>")]
fn store(shared: &State<Shared>, what: &str, on: bool) {
    shared.change(|world| match what {
        "down" => world.store.down = on,
        _ => world.store.compact(),
    });
}

/// Who leads with the highest term, its log, and how many promotions there were.
#[get("/group")]
fn group(shared: &State<Shared>) -> Json<Value> {
    let world = shared.world.lock().expect("no change panics");
    let servers = &world.database.servers;
    let leaders = servers
        .iter()
        .enumerate()
        .filter(|(_, server)| server.primary);
    let leader = leaders.max_by_key(|(_, server)| server.term);
    let log = leader.map(|(_, server)| {
        let entries = server.log.iter();
        entries
            .map(|entry| json!([entry.item, entry.data]))
            .collect::<Vec<Value>>()
    });
    Json(
        json!({ "leader": leader.map(|(index, _)| index), "log": log,
        "promotions": world.database.promotions.len(), "tokens": world.tokens, "era": world.store.era, "watches": world.store.watches,
        "addresses": servers.iter().map(|server| server.address).collect::<Vec<_>>(),
        "turned_away": servers.iter().map(|server| server.turned_away).sum::<usize>() }),
    )
}

/// The promotions in the order in which they took effect, each with the log of its server by then.
#[get("/promotions")]
fn promotions(shared: &State<Shared>) -> Json<Value> {
    let world = shared.world.lock().expect("no change panics");
    let one = |promotion: &Promotion| {
        let log = promotion.log.iter();
        let log: Vec<Value> = log.map(|e| json!([e.item, e.data])).collect();
        json!({ "server": promotion.server, "term": promotion.term, "at_us": promotion.at_us() as u64,
            "log": log })
    };
    Json(world.database.promotions.iter().map(one).collect())
}
