// The cases. Each starts a deployment, plays its disruption or leaves it out, and checks the rule as its page states it.

type Played = (Verdict, Platform);

/// Starts one conductor and waits until the front would take it in.
fn one_conductor(platform: &Platform, limits: (u32, u32), ulimit: bool) -> Result<(Child, SocketAddr), String> {
    let address = free_address();
    let config = platform.configure(address, None, limits);
    let child = platform.start(&config, address, ulimit.then_some(limits.1));
    if waits(10_000, || call(address, "GET", "/-/ready") == Some(200)) {
        platform.record.note("the conductor is ready");
        Ok((child, address))
    } else {
        Err("the conductor was not ready within 10 s".into())
    }
}

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

/// A crowd that connects and never finishes a request, beside usual clients on new connections.
fn crowd(root: &Path, folder: &Path, trouble: bool) -> Played {
    const CROWD: usize = 1_000;
    const USUAL: u32 = 60;
    const PATIENCE: u64 = 3_000;
    let pace = Pace { read: 100, first_token: 50, events: 4, between: 50, slow: NEVER };
    let platform = Platform::new(root, folder, 3, 3, pace);
    let (mut child, address) = match one_conductor(&platform, (96, 256), true) {
        Ok(started) => started,
        Err(why) => return (Verdict::CouldNotRun(why), platform),
    };
    let over = Arc::new(AtomicBool::new(false));
    let connected = Arc::new(AtomicU64::new(0));
    let mut crowd = Vec::new();
    for part in 0..if trouble { 4 } else { 0 } {
        let (over, connected, record) = (over.clone(), connected.clone(), platform.record.clone());
        crowd.push(thread::spawn(move || {
            let mut sockets: Vec<Option<TcpStream>> = (0..CROWD / 4).map(|_| None).collect();
            while !over.load(Ordering::Relaxed) {
                for place in &mut sockets {
                    if place.is_none()
                        && let Ok(mut socket) = TcpStream::connect_timeout(&address, Duration::from_secs(1))
                        && socket.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n").is_ok()
                        && socket.set_nonblocking(true).is_ok()
                    {
                        connected.fetch_add(1, Ordering::Relaxed);
                        *place = Some(socket);
                    }
                    // It reads what is sent to it, and comes again when it was closed.
                    let closed = place.as_mut().is_some_and(|socket| match socket.read(&mut [0; 1_024]) {
                        Ok(0) => true,
                        Ok(_) => false,
                        Err(fault) => fault.kind() != ErrorKind::WouldBlock,
                    });
                    if closed {
                        *place = None;
                    }
                }
                pause(20);
            }
            record.note(format!("part {part} of the crowd goes"));
        }));
    }
    pause(3_000);
    platform.record.note(format!("{} connections of the crowd so far", connected.load(Ordering::Relaxed)));
    let mut usual = Vec::new();
    for number in 0..USUAL {
        let record = platform.record.clone();
        usual.push(thread::spawn(move || {
            let id = id(0xc0, number);
            let Ok(socket) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
                record.note(format!("client {id}: its connection did not come up; not counted"));
                return Got::NoConnection;
            };
            let mut wire = Wire::new(socket);
            let (got, sent, began) = ask(&mut wire, &request(&id, "climb-query", PATIENCE, 1_500, 2_000), PATIENCE);
            record.at(sent, format!("client {id} has sent its request and waits {PATIENCE} ms"));
            record.at(began, format!("client {id}: {got:?}, {} ms after its last byte", began - sent));
            got
        }));
        pause(100);
    }
    let got: Vec<Got> = usual.into_iter().map(|client| client.join().unwrap_or(Got::NoConnection)).collect();
    over.store(true, Ordering::Relaxed);
    crowd.into_iter().for_each(|part| drop(part.join()));
    let crashed = child.try_wait().ok().flatten().is_some();
    end(&mut child);
    let count = |wanted: fn(&Got) -> bool| got.iter().filter(|got| wanted(got)).count();
    let none = count(|got| *got == Got::Nothing);
    // A connection that is shut unread is excused in a crowd, and one that never came up was not accepted.
    platform.record.note(format!(
        "{} requests: {} answered in time, {none} with no answer, {} shut, {} not connected; {} connections of the crowd",
        got.len(),
        count(|got| matches!(got, Got::Answer(..))),
        count(|got| *got == Got::Closed),
        count(|got| *got == Got::NoConnection),
        connected.load(Ordering::Relaxed)
    ));
    if crashed {
        return (Verdict::CouldNotRun("the conductor ended".into()), platform);
    }
    (if none > 0 { Verdict::Broken } else { Verdict::Held }, platform)
}

/// Anonymous memory of a process in kilobytes.
fn anonymous_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Bad clients with endless heads, under the smallest memory limit. The platform kills a process over its limit.
fn memory(root: &Path, folder: &Path, trouble: bool) -> Played {
    const LIMIT_MB: u32 = 32;
    const BAD: usize = 450;
    const HEAD: usize = 32_000;
    let pace = Pace { read: 100, first_token: 50, events: 60, between: 100, slow: NEVER };
    let platform = Platform::new(root, folder, 3, 3, pace);
    let (mut child, address) = match one_conductor(&platform, (LIMIT_MB, 1_024), true) {
        Ok(started) => started,
        Err(why) => return (Verdict::CouldNotRun(why), platform),
    };
    // The platform: kills the process once it is over its limit.
    let (pid, record, most) = (child.id(), platform.record.clone(), Arc::new(AtomicU64::new(0)));
    let seen = most.clone();
    let guard = thread::spawn(move || {
        let until = now() + 12_000;
        while now() < until {
            let Some(kb) = anonymous_kb(pid) else { return false };
            seen.fetch_max(kb, Ordering::Relaxed);
            if kb > u64::from(LIMIT_MB) * 1_024 {
                record.note(format!("the platform kills the conductor: {kb} kB of memory, {LIMIT_MB} MB allowed"));
                let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
                return true;
            }
            pause(20);
        }
        false
    });
    let mut usual = Vec::new();
    for number in 0..10 {
        let record = platform.record.clone();
        usual.push(thread::spawn(move || {
            let id = id(0xd0, number);
            let Ok(socket) = TcpStream::connect(address) else { return Got::NoConnection };
            let mut wire = Wire::new(socket);
            let (got, sent, began) = ask(&mut wire, &request(&id, "climb-query", 6_000, 1_500, 2_000), 6_000);
            record.at(sent, format!("client {id} has sent its request"));
            record.at(began, format!("client {id}: its answer begins"));
            record.note(format!("client {id}: {got:?}"));
            got
        }));
        pause(100);
    }
    let mut bad = Vec::new();
    if trouble {
        let mut head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Note: ".to_vec();
        head.resize(HEAD, b'a');
        for _ in 0..BAD {
            if let Ok(mut socket) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
                let _ = socket.write_all(&head);
                bad.push(socket);
            }
        }
        platform.record.note(format!("{} clients have sent the begin of an endless head, {HEAD} bytes each", bad.len()));
    }
    let got: Vec<Got> = usual.into_iter().map(|client| client.join().unwrap_or(Got::NoConnection)).collect();
    let killed = guard.join().unwrap_or(false);
    let whole = got.iter().filter(|got| **got == Got::Answer(200, true)).count();
    platform.record.note(format!(
        "{whole} of {} usual requests were served whole; {} kB of memory at most",
        got.len(),
        most.load(Ordering::Relaxed)
    ));
    drop(bad);
    let ended = child.try_wait().ok().flatten().is_some();
    end(&mut child);
    if ended && !killed {
        return (Verdict::CouldNotRun("the conductor ended by itself".into()), platform);
    }
    (if killed { Verdict::Broken } else { Verdict::Held }, platform)
}

/// Clients that send much at once and go. Without the trouble they send the one request and go.
fn gone(root: &Path, folder: &Path, trouble: bool) -> Played {
    const CLIENTS: u32 = 12;
    const FURTHER: u32 = 150;
    const LEFT_SLACK: u64 = 100;
    let pace = Pace { read: 180, first_token: 50, events: 6, between: 50, slow: NEVER };
    let platform = Platform::new(root, folder, 3, 3, pace);
    let (mut child, address) = match one_conductor(&platform, (192, 1_024), true) {
        Ok(started) => started,
        Err(why) => return (Verdict::CouldNotRun(why), platform),
    };
    let mut left = BTreeMap::new();
    for number in 0..CLIENTS {
        let first = id(0xe0, number);
        let mut bytes = request(&first, "route-save", 15_000, 3_000, 20_000);
        for further in 0..if trouble { FURTHER } else { 0 } {
            bytes.extend(request(&id(0xe1, number * FURTHER + further), "route-save", 15_000, 3_000, 20_000));
        }
        let Ok(mut socket) = TcpStream::connect(address) else { continue };
        let begun = now();
        let sent = socket.write_all(&bytes);
        drop(socket);
        let closed = now();
        platform.record.at(begun, format!("client {first} sends {} bytes", bytes.len()));
        platform.record.at(closed, format!("client {first} has closed its connection, {sent:?}"));
        left.insert(first, closed);
        pause(1_500);
    }
    pause(1_000);
    end(&mut child);
    let bound = LEFT_SLACK + SOCKET_SLACK + lateness();
    let mut late = 0;
    for attempt in platform.attempts() {
        let Some(closed) = left.get(&attempt.request) else { continue };
        if attempt.first > closed + bound {
            late += 1;
            let after = attempt.first - closed;
            platform.record.at(
                attempt.first,
                format!("late: the attempt of {} at {} began {after} ms after its client had gone", attempt.request, attempt.instance),
            );
        }
    }
    platform.record.note(format!("{} clients have gone, {late} attempts began over {bound} ms later", left.len()));
    if left.len() < CLIENTS as usize {
        return (Verdict::CouldNotRun("clients could not connect".into()), platform);
    }
    (if late > 0 { Verdict::Broken } else { Verdict::Held }, platform)
}

/// An upgrade under load while discovery is silent; operators take an instance out at the newer process before it says yes. Without
/// the trouble they do so at the older one.
fn maintenance(root: &Path, folder: &Path, trouble: bool) -> Played {
    const GRACE: u64 = 1_000;
    const BANNED: &str = "s-write3";
    let pace = Pace { read: 450, first_token: 50, events: 10, between: 50, slow: NEVER };
    let platform = Platform::new(root, folder, 2, 2, pace);
    let (listen, older, newer) = (free_address(), free_address(), free_address());
    let config = platform.configure(listen, Some(older), (192, 1_024));
    let mut first = platform.start(&config, listen, None);
    let failed = |why: &str, mut children: Vec<Child>, platform: Platform| {
        children.iter_mut().for_each(end);
        (Verdict::CouldNotRun(why.into()), platform)
    };
    if !waits(10_000, || call(older, "GET", "/healthcheck") == Some(200)) {
        return failed("the conductor was not ready", vec![first], platform);
    }
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..40 {
        let (over, record) = (over.clone(), platform.record.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                if let Ok(socket) = TcpStream::connect_timeout(&listen, Duration::from_secs(1)) {
                    let id = id(0xf00 + client, number);
                    let mut wire = Wire::new(socket);
                    let (got, sent, _) = ask(&mut wire, &request(&id, "climb-query", 6_000, 8_000, 2_000), 6_000);
                    record.at(sent, format!("client {id} has sent its request"));
                    record.note(format!("client {id}: {got:?}"));
                    number += 1;
                }
                pause(400);
            }
        }));
        pause(25);
    }
    pause(4_000);
    platform.silent.store(true, Ordering::Relaxed);
    platform.record.note("discovery falls silent");
    pause(500);
    let config = platform.configure(listen, Some(newer), (192, 1_024));
    let mut second = platform.start(&config, listen, None);
    let asked_at = if trouble { newer } else { older };
    if !waits(3_000, || call(newer, "GET", "/healthcheck").is_some()) {
        over.store(true, Ordering::Relaxed);
        return failed("the newer process does not answer operators", vec![first, second], platform);
    }
    let told = call(asked_at, "POST", &format!("/instances/{BANNED}/maint"));
    let yes = now();
    let which = if trouble { "newer" } else { "older" };
    platform.record.at(yes, format!("operators take {BANNED} out at the {which} process: {told:?}"));
    if told != Some(200) {
        over.store(true, Ordering::Relaxed);
        return failed("no yes to the maintenance", vec![first, second], platform);
    }
    if !waits(6_000, || call(newer, "GET", "/healthcheck") == Some(200)) {
        over.store(true, Ordering::Relaxed);
        return failed("the newer process did not say yes within 6 s", vec![first, second], platform);
    }
    platform.record.note("the newer process says yes; the older one is told to end");
    signal(&first, "TERM");
    pause(3_700);
    end(&mut first);
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    end(&mut second);
    let bound = GRACE + SOCKET_SLACK + lateness();
    let mut late = 0;
    for attempt in platform.attempts() {
        if attempt.instance == BANNED && attempt.first > yes + bound {
            late += 1;
            let after = attempt.first - yes;
            platform.record.at(attempt.first, format!("late: {BANNED} gets {} {after} ms after the yes", attempt.request));
        }
    }
    platform.record.note(format!("{late} attempts at {BANNED} began over {bound} ms after the yes"));
    (if late > 0 { Verdict::Broken } else { Verdict::Held }, platform)
}

/// A writer of five instances that is slow for a while, under clients that do not ask for the rest of a stream.
fn slow(root: &Path, folder: &Path, trouble: bool) -> Played {
    /// From one event to the next, within the 5 s that a client may be left waiting.
    const GAP: u64 = 4_600;
    const REQUESTS: u32 = 12;
    const PATIENCE: u64 = 4_000;
    let slow = if trouble { (3, 3, GAP) } else { NEVER };
    let pace = Pace { read: 100, first_token: 50, events: 12, between: 100, slow };
    let platform = Platform::of(UB_BOOKING, root, folder, (2, 3), pace);
    let (mut child, address) = match one_conductor(&platform, (192, 1_024), true) {
        Ok(started) => started,
        Err(why) => return (Verdict::CouldNotRun(why), platform),
    };
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let record = platform.record.clone();
        clients.push(thread::spawn(move || {
            let id = id(0xa0, number);
            let Ok(socket) = TcpStream::connect(address) else { return Got::NoConnection };
            let mut wire = Wire::new(socket);
            let (got, sent, began) = ask(&mut wire, &request(&id, "book", PATIENCE, 2_000, 2_000), PATIENCE);
            record.at(sent, format!("client {id} has sent its request"));
            record.at(began, format!("client {id}: its answer begins"));
            record.note(format!("client {id}: {got:?}"));
            got
        }));
        pause(400);
    }
    let got: Vec<Got> = clients.into_iter().map(|client| client.join().unwrap_or(Got::NoConnection)).collect();
    // An instance notices at its next event that its stream was cut.
    pause(1_000);
    end(&mut child);
    let cut = got.iter().filter(|got| **got == Got::Answer(200, false)).count();
    let whole = got.iter().filter(|got| **got == Got::Answer(200, true)).count();
    platform.record.note(format!("{} requests: {whole} served whole, {cut} cut off while their instances ran", got.len()));
    if whole + cut == 0 {
        return (Verdict::CouldNotRun("no stream began".into()), platform);
    }
    (if cut > 0 { Verdict::Broken } else { Verdict::Held }, platform)
}
