//! The stand-ins and the cases of the review. Standard library only.
//!
//! `standin CASE FOLDER` plays a case from the repository's root and writes FOLDER/record.txt. It ends with 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` it plays it without the disruption.

mod cases;
mod operators;
mod platform;
mod sip;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        world::finish(2, "a stand-in failed");
    }));
    std::fs::create_dir_all(world::temporary_folder()).expect("a temporary folder");
    world::begin(folder, 100);
    match case.as_str() {
        "datagram" => cases::datagram(),
        "restart" => cases::restart(),
        "flood" => cases::flood(),
        _ => world::finish(2, "no such case"),
    }
}
