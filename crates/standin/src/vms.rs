//! Fake of the platform's VM list, served as JSON over HTTP with `rocket`. Responses carry an
//! `ETag`, so that clients fetch the list only when it has changed.

use std::{net::SocketAddr, sync::Mutex};

use dandelionpitch_core::vms::Vm;
use rocket::{get, post, request, response, routes, serde::json::Json, Request, State};

/// The list and its version, which is its `ETag`.
#[derive(Debug, Default)]
struct List {
    vms: Vec<Vm>,
    version: u64,
}

/// The `If-None-Match` header of a request: the `ETag` that the client already has.
struct IfNoneMatch(Option<String>);

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for IfNoneMatch {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, Self::Error> {
        let tag = request.headers().get_one("If-None-Match");
        request::Outcome::Success(Self(tag.map(str::to_owned)))
    }
}

#[derive(response::Responder)]
enum Response {
    #[response(status = 200)]
    Modified(Json<Vec<Vm>>, rocket::http::Header<'static>),
    #[response(status = 304)]
    NotModified(()),
}

#[get("/vms")]
fn get_list(if_none_match: IfNoneMatch, list: &State<Mutex<List>>) -> Response {
    let list = list.lock().unwrap();
    let tag = format!("\"{}\"", list.version);
    match if_none_match.0.as_ref() == Some(&tag) {
        true => Response::NotModified(()),
        false => Response::Modified(
            Json(list.vms.clone()),
            rocket::http::Header::new("ETag", tag),
        ),
    }
}

#[post("/vms", data = "<vms>")]
fn replace_list(vms: Json<Vec<Vm>>, list: &State<Mutex<List>>) {
    let mut list = list.lock().unwrap();
    list.vms = vms.into_inner();
    list.version += 1;
}

/// Serves the list at `addr` until the process ends; prints its URL on stdout.
pub async fn serve(addr: SocketAddr) -> Result<(), rocket::Error> {
    let figment = rocket::Config::figment()
        .merge(("address", addr.ip()))
        .merge(("port", addr.port()))
        .merge(("log_level", "off"))
        .merge(("shutdown.ctrlc", false));
    let announce = rocket::fairing::AdHoc::on_liftoff("announce", |rocket| {
        let config = rocket.config();
        crate::announce(&format!("http://{}:{}/vms", config.address, config.port));
        Box::pin(async {})
    });
    let _ = rocket::custom(figment)
        .manage(Mutex::new(List::default()))
        .mount("/", routes![get_list, replace_list])
        .attach(announce)
        .launch()
        .await?;
    Ok(())
}
