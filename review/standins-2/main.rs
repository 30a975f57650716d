//! The cases of the second review: `cases NAME FOLDER` plays one and writes its record to FOLDER/record.txt. It exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod crowd;
mod heads;
mod twice;
mod upgrade;
mod world;

use std::path::PathBuf;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &words[..] else {
        println!("usage: cases NAME FOLDER");
        std::process::exit(2);
    };
    let record = PathBuf::from(folder).join("record.txt");
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    world::end_after(std::time::Duration::from_secs(110));
    let code = match name.as_str() {
        "crowd" => crowd::slow_writers(&record, is_troubled),
        "queue" => crowd::queue(&record, is_troubled),
        "upgrade" => upgrade::play(&record, is_troubled),
        "heads" => heads::play(&record, is_troubled),
        "twice" => twice::play(&record, is_troubled),
        _ => {
            println!("no case {name}");
            2
        }
    };
    std::process::exit(code);
}
