//! HTTP API of the store and of promotion.

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
    store::{Event, Item, TxnError},
    test_api::{self, log_event},
    Shared, SERVICE,
};

type Response = (Status, Json<Value>);

/// Interval at which leases are expired and snapshots taken.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);

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

fn status(code: u16) -> Response {
    (Status::new(code), Json(json!({})))
}

/// Runs a store call, or answers 503 if the store is down.
fn run_store_call(shared: &Shared, run: impl FnOnce(&mut super::Platform) -> Response) -> Response {
    shared.update(|platform| match platform.store.down {
        true => status(503),
        false => run(platform),
    })
}

#[get("/v1/kv-key?<key>")]
fn key(shared: &State<Shared>, key: &str) -> Response {
    run_store_call(shared, |platform| match platform.store.get(key) {
        Some(found) => (Status::Ok, Json(item(found))),
        None => status(404),
    })
}

#[get("/v1/kv-range?<prefix>")]
fn range(shared: &State<Shared>, prefix: &str) -> Response {
    run_store_call(shared, |platform| {
        let items: Vec<Value> = platform.store.list(prefix).iter().map(item).collect();
        let page = json!({ "items": items, "has_more": false, "as_of": platform.store.rev });
        (Status::Ok, Json(page))
    })
}

#[get("/v1/kv-watch?<prefix>&<after>&<wait_ms>")]
async fn watch(shared: &State<Shared>, prefix: &str, after: u64, wait_ms: u64) -> Response {
    shared
        .platform
        .lock()
        .expect("platform lock is not poisoned")
        .store
        .watches += 1;
    let poll = async {
        loop {
            let changed = shared.changed.notified();
            match watch_now(shared, prefix, after) {
                (response, true) => return response,
                (_, false) => changed.await,
            }
        }
    };
    match timeout(Duration::from_millis(wait_ms), poll).await {
        Ok(response) => response,
        Err(_) => watch_now(shared, prefix, after).0,
    }
}

/// The response to a watch at this moment, and whether it has to be sent at once. The changes and the revision
/// are read together: a response without a change that its revision includes would hide it from the watcher.
fn watch_now(shared: &Shared, prefix: &str, after: u64) -> (Response, bool) {
    let platform = shared.platform.lock();
    let store = &platform.expect("platform lock is not poisoned").store;
    if store.down {
        return (status(503), true);
    }
    let Some(events) = store.changes(prefix, after) else {
        return (status(410), true);
    };
    let events: Vec<Value> = events.iter().map(event).collect();
    let has_changes = !events.is_empty();
    let body = json!({ "events": events, "as_of": store.rev });
    ((Status::Ok, Json(body)), has_changes)
}

#[post("/v1/kv-txn", data = "<body>")]
fn txn(shared: &State<Shared>, body: Json<Value>) -> Response {
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
    run_store_call(shared, |platform| {
        match platform.store.txn(&expected, &writes, &remove) {
            Ok(rev) => (Status::Ok, Json(json!({ "rev": rev }))),
            Err(TxnError::Conflict) => status(412),
            Err(TxnError::LeaseNotFound) => status(404),
        }
    })
}

#[post("/v1/kv-lease", data = "<body>")]
fn grant_lease(shared: &State<Shared>, body: Json<Value>) -> Response {
    let ttl = body["ttl_ms"].as_u64().unwrap_or(1_000);
    run_store_call(shared, |platform| {
        let lease = platform.store.grant(Duration::from_millis(ttl));
        (Status::Ok, Json(json!({ "lease": lease, "ttl_ms": ttl })))
    })
}

#[post("/v1/kv-keep/<lease>")]
fn renew_lease(shared: &State<Shared>, lease: u64) -> Response {
    run_store_call(shared, |platform| match platform.store.renew(lease) {
        true => status(200),
        false => status(404),
    })
}

#[delete("/v1/kv-lease-end/<lease>")]
fn revoke_lease(shared: &State<Shared>, lease: u64) -> Response {
    run_store_call(shared, |platform| {
        platform.store.revoke(lease);
        status(200)
    })
}

/// Fencing token from a request's header, or 0 if it is missing or invalid.
struct FencingToken(u64);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for FencingToken {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let token = request.headers().get_one("Dandelionpitch-Fence-Token");
        Outcome::Success(Self(token.and_then(|t| t.parse().ok()).unwrap_or_default()))
    }
}

#[post("/promote", data = "<body>")]
async fn promote(shared: &State<Shared>, token: FencingToken, body: Json<Value>) -> Status {
    if token.0 > 0 {
        shared
            .platform
            .lock()
            .expect("platform lock is not poisoned")
            .fencing_tokens
            .push(token.0);
    }
    let found = {
        let platform = shared
            .platform
            .lock()
            .expect("platform lock is not poisoned");
        let matches = |id: &str| body["id"] == json!(id) && body["service"] == json!(SERVICE);
        let mut servers = platform.database.servers.iter();
        let index = servers.position(|server| matches(&server.id) && server.is_up());
        index.map(|index| {
            let started_at_ms = platform.database.servers[index].started_at_ms;
            (
                index,
                started_at_ms,
                platform.database.is_current_primary(index),
            )
        })
    };
    let Some((index, started_at_ms, is_current_primary)) = found else {
        return Status::Conflict;
    };
    tokio::time::sleep(shared.settings.promote_call_duration).await;
    if is_current_primary {
        return Status::Ok;
    }
    log_event("promotion called", index, "");
    let (shared, effect_delay) = (
        shared.inner().clone(),
        shared.settings.promotion_effect_delay,
    );
    overload_candidate(&shared, index);
    match effect_delay.is_zero() {
        true => apply_promotion(&shared, index, started_at_ms),
        false => {
            tokio::spawn(async move {
                tokio::time::sleep(effect_delay).await;
                apply_promotion(&shared, index, started_at_ms);
            });
        }
    }
    Status::Ok
}

/// Overloads the server that is to be promoted, if a test has requested it.
fn overload_candidate(shared: &Shared, index: usize) {
    let Some(duration) = shared.update(|platform| platform.database.next_candidate_overload.take())
    else {
        return;
    };
    set_overloaded(shared, index, true);
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(duration).await;
        set_overloaded(&shared, index, false);
    });
}

fn set_overloaded(shared: &Shared, index: usize, on: bool) {
    log_event("crowded", index, if on { "on" } else { "off" });
    shared.update(|platform| platform.database.servers[index].fault.overloaded = on);
}

/// Promotes a server, unless it has lost its log since the call: `started_at_ms` is its start time
/// during the call. The caller cannot know of the loss and has no way to cancel the promotion.
fn apply_promotion(shared: &Shared, index: usize, started_at_ms: u64) {
    let promoted = shared.update(|platform| {
        let same = platform.database.servers[index].started_at_ms == started_at_ms;
        if same {
            platform.database.promote(index);
        }
        same
    });
    if promoted {
        log_event("promotion in effect", index, "");
    }
}

/// Serves all routes on a port chosen by the OS and prints the address as the first line on stdout.
pub async fn serve(host: IpAddr, shared: Shared) -> Result<(), rocket::Error> {
    let figment = rocket::Config::figment()
        .merge(("address", host))
        .merge(("port", 0))
        .merge(("log_level", "off"));
    let background = shared.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            background.update(|platform| {
                platform.store.expire_leases();
                platform.store.snapshot();
                // Lets a superseded primary step down even if there are no writes.
                if !background.settings.step_down_delay.is_zero() {
                    platform.database.replicate();
                }
            });
        }
    });
    rocket::custom(figment)
        .manage(shared)
        .mount(
            "/",
            routes![
                key,
                range,
                watch,
                txn,
                grant_lease,
                renew_lease,
                revoke_lease,
                promote
            ],
        )
        .mount("/test", test_api::routes())
        .attach(rocket::fairing::AdHoc::on_response(
            "era",
            |request, response| {
                Box::pin(async move {
                    if let Some(shared) = request.rocket().state::<Shared>() {
                        let era = shared
                            .platform
                            .lock()
                            .expect("platform lock is not poisoned")
                            .store
                            .era;
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
