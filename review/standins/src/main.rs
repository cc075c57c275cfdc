//! Plays one case of the review: `standins CASE ROOT RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod connections;
mod front;
mod lab;
mod memory;
mod pg;
mod platform;
mod silent_clients;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("standins CASE ROOT RECORD");
        std::process::exit(2);
    };
    // A panic of a stand-in means that the case could not run.
    std::panic::set_hook(Box::new(|info| {
        lab::give_up(&info.to_string());
    }));
    lab::watchdog(lab::ms(110_000));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = lab::Record::create(record);
    let code = match case.as_str() {
        "silent-clients" => silent_clients::play(root, &record, trouble),
        "connections" => connections::play(root, &record, trouble),
        "memory" => memory::play(root, &record, trouble),
        _ => 2,
    };
    std::process::exit(code);
}
