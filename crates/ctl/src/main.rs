//! `dpctl`, the operator's command-line tool.

mod burn;
mod cli;
mod command;
mod proxy;
mod trace;
mod validate;

use clap::Parser;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let cli = cli::Cli::parse();
    match command::run(cli.command).await {
        Ok(text) => println!("{text}"),
        Err(text) => {
            eprintln!("dpctl: {text}");
            std::process::exit(1);
        }
    }
}
