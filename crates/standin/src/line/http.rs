//! The store's and the platform's calls over HTTP.

use std::{net::IpAddr, time::Duration};

use base64::{engine::general_purpose::STANDARD, Engine};
use rocket::{
    delete, get,
    http::Status,
    post,
    request::{FromRequest, Outcome},
    routes,
    serde::json::{
        serde_json::{json, Value},
        Json,
    },
    tokio::{self, time::timeout},
    Request, State,
};

use super::{
    store::{Event, Item, Refused},
    test_api::{self, journal},
    Shared, SERVICE,
};

type Answer = (Status, Json<Value>);

/// How often leases are swept.
const SWEEP_EVERY: Duration = Duration::from_millis(50);

fn item(item: &Item) -> Value {
    json!({ "key": item.key, "value": STANDARD.encode(&item.value), "rev": item.rev,
        "created": item.created, "lease": item.lease })
}

fn event(event: &Event) -> Value {
    match event {
        Event::Written(written) => item(written),
        Event::Removed { key, rev } => json!({ "key": key, "rev": rev, "removed": true }),
    }
}

fn status(code: u16) -> Answer {
    (Status::new(code), Json(json!({})))
}

/// Runs a call unless the store is down.
fn call(shared: &Shared, run: impl FnOnce(&mut super::World) -> Answer) -> Answer {
    shared.change(|world| match world.store.down {
        true => status(503),
        false => run(world),
    })
}

#[get("/v1/kv-key?<key>")]
fn key(shared: &State<Shared>, key: &str) -> Answer {
    call(shared, |world| match world.store.get(key) {
        Some(found) => (Status::Ok, Json(item(found))),
        None => status(404),
    })
}

#[get("/v1/kv-range?<prefix>")]
fn range(shared: &State<Shared>, prefix: &str) -> Answer {
    call(shared, |world| {
        let items: Vec<Value> = world.store.list(prefix).iter().map(item).collect();
        let page = json!({ "items": items, "has_more": false, "as_of": world.store.rev });
        (Status::Ok, Json(page))
    })
}

#[get("/v1/kv-watch?<prefix>&<after>&<wait_ms>")]
async fn watch(shared: &State<Shared>, prefix: &str, after: u64, wait_ms: u64) -> Answer {
    shared.world.lock().expect("no change panics").store.watches += 1;
    let look = async {
        loop {
            let changed = shared.changed.notified();
            let found = {
                let world = shared.world.lock().expect("no change panics");
                if world.store.down {
                    return status(503);
                }
                let changes = world.store.changes(prefix, after);
                (changes, world.store.rev)
            };
            match found {
                (None, _) => return status(410),
                (Some(events), rev) if !events.is_empty() => {
                    let events: Vec<Value> = events.iter().map(event).collect();
                    return (Status::Ok, Json(json!({ "events": events, "as_of": rev })));
                }
                _ => changed.await,
            }
        }
    };
    match timeout(Duration::from_millis(wait_ms), look).await {
        Ok(answer) => answer,
        Err(_) => {
            let rev = shared.world.lock().expect("no change panics").store.rev;
            match rev < after {
                true => status(410),
                false => (Status::Ok, Json(json!({ "events": [], "as_of": rev }))),
            }
        }
    }
}

#[post("/v1/kv-txn", data = "<body>")]
fn txn(shared: &State<Shared>, body: Json<Value>) -> Answer {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
    let expected: Vec<(String, u64)> = rows("expect_rev")
        .iter()
        .map(|row| (text(row, "key"), row["rev"].as_u64().unwrap_or_default()))
        .collect();
    let writes: Vec<(String, Vec<u8>, u64)> = rows("writes")
        .iter()
        .map(|row| {
            let value = STANDARD.decode(text(row, "value")).unwrap_or_default();
            (
                text(row, "key"),
                value,
                row["lease"].as_u64().unwrap_or_default(),
            )
        })
        .collect();
    let remove: Vec<String> = rows("remove")
        .iter()
        .filter_map(|key| key.as_str().map(str::to_owned))
        .collect();
    call(shared, |world| {
        match world.store.change(&expected, &writes, &remove) {
            Ok(rev) => (Status::Ok, Json(json!({ "rev": rev }))),
            Err(Refused::Conflict) => status(412),
            Err(Refused::NoLease) => status(404),
        }
    })
}

#[post("/v1/kv-lease", data = "<body>")]
fn lease(shared: &State<Shared>, body: Json<Value>) -> Answer {
    let ttl = body["ttl_ms"].as_u64().unwrap_or(1_000);
    call(shared, |world| {
        let lease = world.store.grant(Duration::from_millis(ttl));
        (Status::Ok, Json(json!({ "lease": lease, "ttl_ms": ttl })))
    })
}

#[post("/v1/kv-keep/<lease>")]
fn keep(shared: &State<Shared>, lease: u64) -> Answer {
    call(shared, |world| match world.store.renew(lease) {
        true => status(200),
        false => status(404),
    })
}

#[delete("/v1/kv-lease-end/<lease>")]
fn end(shared: &State<Shared>, lease: u64) -> Answer {
    call(shared, |world| {
        world.store.end(lease);
        status(200)
    })
}
/// The token of a call of the failover duty.
struct Token(u64);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Token {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let token = request.headers().get_one("Dandelionpitch-Fence-Token");
        Outcome::Success(Self(token.and_then(|t| t.parse().ok()).unwrap_or_default()))
    }
}

#[post("/promote", data = "<body>")]
async fn promote(shared: &State<Shared>, token: Token, body: Json<Value>) -> Status {
    if token.0 > 0 {
        shared
            .world
            .lock()
            .expect("no change panics")
            .tokens
            .push(token.0);
    }
    let found = {
        let world = shared.world.lock().expect("no change panics");
        let wanted = |id: &str| body["id"] == json!(id) && body["service"] == json!(SERVICE);
        let mut servers = world.database.servers.iter();
        let index = servers.position(|server| wanted(&server.id) && server.is_up());
        index.map(|index| {
            let born = world.database.servers[index].born;
            (index, born, world.database.leads(index))
        })
    };
    let Some((index, born, leads)) = found else {
        return Status::Conflict;
    };
    tokio::time::sleep(shared.settings.promote).await;
    if leads {
        return Status::Ok;
    }
    journal("promotion called", index, "");
    let (shared, effect) = (shared.inner().clone(), shared.settings.effect);
    crowd_heir(&shared, index);
    match effect.is_zero() {
        true => take_effect(&shared, index, born),
        false => {
            tokio::spawn(async move {
                tokio::time::sleep(effect).await;
                take_effect(&shared, index, born);
            });
        }
    }
    Status::Ok
}

/// Crowds the server that was called to be promoted, if an experiment wants that.
fn crowd_heir(shared: &Shared, index: usize) {
    let Some(lasts) = shared.change(|world| world.database.heir_crowded.take()) else {
        return;
    };
    crowd(shared, index, true);
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(lasts).await;
        crowd(&shared, index, false);
    });
}

fn crowd(shared: &Shared, index: usize, on: bool) {
    journal("crowded", index, if on { "on" } else { "off" });
    shared.change(|world| world.database.servers[index].fault.crowded = on);
}

/// A promotion called for at a server that was `born` then. One that has lost its log since is another server:
/// whoever called could not know of that, and nobody could undo it.
fn take_effect(shared: &Shared, index: usize, born: u64) {
    let promoted = shared.change(|world| {
        let same = world.database.servers[index].born == born;
        if same {
            world.database.promote(index);
        }
        same
    });
    if promoted {
        journal("promotion in effect", index, "");
    }
}

/// Serves all calls on one address, printed as the first line of standard output.
pub async fn serve(host: IpAddr, shared: Shared) -> Result<(), rocket::Error> {
    let figment = rocket::Config::figment()
        .merge(("address", host))
        .merge(("port", 0))
        .merge(("log_level", "off"));
    let sweeping = shared.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            sweeping.change(|world| {
                world.store.sweep();
                world.store.copy();
                // An outranked primary has to notice the end of its time also when nobody writes.
                if !sweeping.settings.outranked.is_zero() {
                    world.database.replicate();
                }
            });
        }
    });
    rocket::custom(figment)
        .manage(shared)
        .mount(
            "/",
            routes![key, range, watch, txn, lease, keep, end, promote],
        )
        .mount("/test", test_api::routes())
        .attach(rocket::fairing::AdHoc::on_response(
            "era",
            |request, response| {
                Box::pin(async move {
                    if let Some(shared) = request.rocket().state::<Shared>() {
                        let era = shared.world.lock().expect("no change panics").store.era;
                        response.set_raw_header("Store-Era", era.to_string());
                    }
                })
            },
        ))
        .attach(rocket::fairing::AdHoc::on_liftoff("bound", |rocket| {
            let config = rocket.config();
            crate::announce(&format!("{}:{}", config.address, config.port));
            Box::pin(async {})
        }))
        .launch()
        .await?;
    Ok(())
}
