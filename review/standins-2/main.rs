//! The cases of the second review: `cases NAME RECORD` plays one and writes to the file RECORD what was sent, answered and run. It
//! exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod crowd;
mod gone;
mod heads;
mod twice;
mod upgrade;
mod world;

use std::path::Path;

use world::Record;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [name, path] = &words[..] else {
        println!("usage: cases NAME RECORD");
        std::process::exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::begin(Path::new(path), name, is_troubled).unwrap_or_else(|fault| {
        println!("cannot write {path}: {fault}");
        std::process::exit(2);
    });
    world::end_after(&record, std::time::Duration::from_secs(110));
    let code = match name.as_str() {
        "queue" => crowd::queue(&record, is_troubled),
        "upgrade" => upgrade::play(&record, is_troubled),
        "gone" => gone::play(&record, is_troubled),
        "heads" => heads::play(&record, is_troubled),
        "twice" => twice::play(&record, is_troubled),
        _ => record.close("there is no such case", 2),
    };
    std::process::exit(code);
}
