//! The stand-in of the platform's VM list: HTTP/JSON on `rocket`, with an entity tag so that a
//! reader fetches only what has changed.

use std::{net::SocketAddr, sync::Mutex};

use dandelionpitch_core::vms::Vm;
use rocket::{get, post, request, response, routes, serde::json::Json, Request, State};

/// The list and how often it was replaced, which is its entity tag.
#[derive(Debug, Default)]
struct List {
    vms: Vec<Vm>,
    version: u64,
}

/// The entity tag a reader already has.
struct Known(Option<String>);

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for Known {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, Self::Error> {
        let tag = request.headers().get_one("If-None-Match");
        request::Outcome::Success(Self(tag.map(str::to_owned)))
    }
}

#[derive(response::Responder)]
enum Answer {
    #[response(status = 200)]
    Changed(Json<Vec<Vm>>, rocket::http::Header<'static>),
    #[response(status = 304)]
    Same(()),
}

#[get("/vms")]
fn read(known: Known, list: &State<Mutex<List>>) -> Answer {
    let list = list.lock().unwrap();
    let tag = format!("\"{}\"", list.version);
    match known.0.as_ref() == Some(&tag) {
        true => Answer::Same(()),
        false => Answer::Changed(
            Json(list.vms.clone()),
            rocket::http::Header::new("ETag", tag),
        ),
    }
}

#[post("/vms", data = "<vms>")]
fn replace(vms: Json<Vec<Vm>>, list: &State<Mutex<List>>) {
    let mut list = list.lock().unwrap();
    list.vms = vms.into_inner();
    list.version += 1;
}

/// Serves the list at `address` until the process ends; prints its URL on stdout.
pub async fn serve(address: SocketAddr) -> Result<(), rocket::Error> {
    let figment = rocket::Config::figment()
        .merge(("address", address.ip()))
        .merge(("port", address.port()))
        .merge(("log_level", "off"))
        .merge(("shutdown.ctrlc", false));
    let announce = rocket::fairing::AdHoc::on_liftoff("announce", |rocket| {
        let config = rocket.config();
        crate::announce(&format!("http://{}:{}/vms", config.address, config.port));
        Box::pin(async {})
    });
    let _ = rocket::custom(figment)
        .manage(Mutex::new(List::default()))
        .mount("/", routes![read, replace])
        .attach(announce)
        .launch()
        .await?;
    Ok(())
}
