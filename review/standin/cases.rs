//! The cases. Each returns whether the rule was broken.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HEARTBEAT, Node};
use crate::http;
use crate::record::Record;
use crate::router::{Client, End, Router};
use crate::server::{Server, unix_ms};
use crate::store::Store;

const SERVICE: &str = "match-desk";

/// `stabilityWindowMs` of the sites.
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);

/// `configPropagationMs` of the sites.
const CONFIG_PROPAGATION: Duration = Duration::from_millis(3_000);

/// `drainMs` of the sites.
const DRAIN: Duration = Duration::from_millis(3_000);

const START_TIMEOUT: Duration = Duration::from_secs(20);

pub fn run(case: &str, has_trouble: bool, record: &Record) -> Result<bool, String> {
    match case {
        "other-writer" => other_writer(has_trouble, record),
        "late-delete" => late_delete(has_trouble, record),
        "quick-restart" => quick_restart(has_trouble, record),
        "clock-back" => clock_back(has_trouble, record),
        "silent-watch" => silent_watch(has_trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

/// A route in the operator's configuration.
struct Route<'a> {
    addr: SocketAddrV4,
    kind: &'a str,
}

fn config(version: u64, routes: &[Route]) -> String {
    let routes = routes.iter().map(|route| {
        let (ip, port, kind) = (route.addr.ip(), route.addr.port(), route.kind);
        format!(
            "{{\"name\":\"r-{ip}\",\"host\":\"{ip}\",\"pathPrefix\":\"/{port}/\",\
             \"type\":\"{kind}\",\"timeoutMs\":5000,\"goalMs\":300,\"priority\":1,\
             \"service\":\"{SERVICE}\",\"maxAttempts\":2}}"
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

fn write_config(store: &Store, version: u64, routes: &[Route], record: &Record) {
    store.write_config(&config(version, routes));
    let addrs: Vec<_> = routes.iter().map(|route| route.addr.to_string()).collect();
    let addrs = addrs.join(", ");
    record.note(&format!("operator: version {version} is acknowledged, routes {addrs}"));
}

fn wait_for(what: &str, condition: impl Fn() -> bool) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < START_TIMEOUT {
        if condition() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(format!("{what} did not happen in time"))
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A heartbeat without the field `zone` comes from another writer and names no server to use. The
/// agent takes it for a new start of its server and resets all flows of the server.
fn other_writer(has_trouble: bool, record: &Record) -> Result<bool, String> {
    let mut fleet = Fleet::new(record)?;
    fleet.seeds = vec![fleet.front_ip(1), fleet.front_ip(2)];
    let store = Store::start(fleet.store_addr, record)?;
    let route = fleet.route(1);
    let routes = [Route { addr: route, kind: "non_idempotent" }];
    write_config(&store, 3, &routes, record);
    let mut nodes = start_nodes(&fleet, 2, 2)?;
    let servers = [1, 2].map(|n| Server::start(fleet.server(n, SERVICE), record));
    let [one, two] = servers;
    let servers = [one?, two?];
    let router = Router::start(vec![fleet.router_node(1), fleet.router_node(2)], record);
    wait_for("rotation", || router.is_in_rotation(0) && router.is_in_rotation(1))?;
    // All machines are in touch, and the servers have sent several heartbeats.
    std::thread::sleep(STABILITY_WINDOW + HEARTBEAT);

    let listen = fleet.client_listen(1);
    let mut client = Client::new(&router, 0, listen, 40_001, route, record)?;
    if client.open() != End::Answered {
        return Err(String::from("the flow did not open"));
    }
    let short = Duration::from_millis(20);
    if client.request("card-1", short, Duration::from_secs(5)) != End::Answered {
        return Err(String::from("the first request was not answered"));
    }
    let holder = servers.iter().position(|server| server.has_run("card-1"));
    let holder = holder.ok_or("no server ran the first request")?;
    let machine = fleet.server(u8::try_from(holder).unwrap_or(0) + 1, SERVICE);
    let (control, app) = (machine.control, machine.app);

    // Half-way through the second request, the other writer's heartbeat arrives.
    let other = {
        let record = record.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(400));
            if has_trouble {
                let born = unix_ms();
                let body = format!(
                    "{{\"service\":\"{SERVICE}\",\"addr\":\"{app}\",\"version\":\"v1\",\
                     \"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":{born}}}"
                );
                let status = http::call(control, "PUT", "/servers/i-other-writer", &body);
                record.note(&format!(
                    "other writer: heartbeat without zone to {control}: {status:?}"
                ));
            }
        })
    };
    let work = Duration::from_millis(800);
    let end = client.request("card-2", work, Duration::from_secs(5));
    let _ = other.join();
    std::thread::sleep(work);
    let server = &servers[holder];
    let lives = server.holds(client.addr, client.route) && server.resets_sent() == 0;
    let id = server.id();
    record.note(&format!(
        "card-2: {end:?}; {id} ran it: {}, still holds the flow and sent no reset: {lives}",
        server.has_run("card-2")
    ));
    // What happens to new flows: after three heartbeats, the server gets none.
    std::thread::sleep(HEARTBEAT * 4);
    let before = servers.each_ref().map(Server::flows_opened);
    for n in 0..12 {
        let listen = fleet.client_listen(10 + n);
        let mut next = Client::new(&router, 0, listen, 41_000, route, record)?;
        if next.open() == End::Answered {
            next.request(&format!("later-{n}"), short, Duration::from_secs(2));
        }
    }
    let after = servers.each_ref().map(Server::flows_opened);
    let taken = [after[0] - before[0], after[1] - before[1]];
    record.note(&format!("of 12 later flows, servers 1 and 2 got {taken:?}"));
    for n in 1..=2 {
        fleet.copy_log(&format!("side-{n}"), &["WARN", "state", "reset"]);
    }
    all_running(&mut nodes)?;
    Ok(end == End::ResetBySystem && lives)
}

fn start_nodes(fleet: &Fleet, fronts: u8, sides: u8) -> Result<Vec<Node>, String> {
    let mut nodes = Vec::new();
    for n in 1..=fronts {
        nodes.push(fleet.start_front(n)?);
    }
    for n in 1..=sides {
        nodes.push(fleet.start_side(n, SERVICE)?);
    }
    Ok(nodes)
}

fn all_running(nodes: &mut [Node]) -> Result<(), String> {
    for node in nodes {
        if !node.is_running() {
            return Err(format!("{} at {} has ended", node.name, node.ip));
        }
    }
    Ok(())
}

/// The answer to the DELETE with which a balancer removes its entry at a planned stop is lost, and
/// the DELETE is done after the next start, whose entry it removes. An agent that starts then does
/// not find the balancer. The balancer does not know the agent, and resets a flow of its server.
fn late_delete(has_trouble: bool, record: &Record) -> Result<bool, String> {
    /// How much later the DELETE is done. The pages give 1 to 6 s.
    const LATER: Duration = Duration::from_millis(2_500);
    /// Time between two hellos of a balancer to agents, by its source.
    const HELLO: Duration = Duration::from_secs(4);
    let mut fleet = Fleet::new(record)?;
    fleet.seeds = vec![fleet.front_ip(1)];
    let store = Store::start(fleet.store_addr, record)?;
    let route = fleet.route(1);
    write_config(&store, 3, &[Route { addr: route, kind: "idempotent" }], record);
    let first_start = Instant::now();
    let mut first = fleet.start_front(1)?;
    let mut second = fleet.start_front(2)?;
    let mut old_side = fleet.start_side(1, SERVICE)?;
    let old_server = Server::start(fleet.server(1, SERVICE), record)?;
    let router = Router::start(vec![fleet.router_node(1), fleet.router_node(2)], record);
    wait_for("rotation", || router.is_in_rotation(0) && router.is_in_rotation(1))?;

    // The new server starts after the sixth hello of front-1 to agents. The next one would come
    // 3.2 s later, when front-1 has ended.
    let new_start = first_start + HELLO * 5 + Duration::from_millis(800);

    // front-2 is stopped and started again.
    let entry = "/objects/citronhollow-balancers/front-2";
    sleep_until(new_start - Duration::from_millis(6_350));
    if has_trouble {
        store.lose_delete(entry, LATER);
    }
    second.terminate();
    second.wait(Duration::from_secs(7))?;
    std::thread::sleep(Duration::from_millis(200));
    drop(second);
    let mut second = fleet.start_front(2)?;
    wait_for("rotation", || router.is_in_rotation(1))?;

    // A release: the new server starts, then the old one drains.
    sleep_until(new_start);
    let listed = store.has("citronhollow-balancers", "front-2");
    record.note(&format!("front-2 is listed at the store: {listed}"));
    let new_side_start = Instant::now();
    let mut new_side = fleet.start_side(2, SERVICE)?;
    let new_server = Server::start(fleet.server(2, SERVICE), record)?;
    wait_for("a heartbeat", || http::call(fleet_ready(&fleet, 2), "GET", "/ready", "").is_some())?;
    std::thread::sleep(Duration::from_millis(100));
    new_server.beat_now();
    if !old_server.drain() {
        return Err(String::from("the old server's notice was not acknowledged"));
    }
    std::thread::sleep(Duration::from_millis(150));

    // A client's flow opens at the new server, through front-1.
    let mut client = Client::new(&router, 0, fleet.client_listen(1), 40_001, route, record)?;
    if client.open() != End::Answered {
        return Err(String::from("the flow did not open"));
    }
    let short = Duration::from_millis(20);
    if client.request("board-1", short, Duration::from_secs(2)) != End::Answered {
        return Err(String::from("the first request was not answered"));
    }
    if !new_server.has_run("board-1") {
        return Err(String::from("the flow is not at the new server"));
    }

    // front-1 is stopped and taken away. The router moves the flow to front-2.
    first.terminate();
    first.wait(Duration::from_secs(7))?;
    wait_for("rotation", || !router.is_in_rotation(0))?;
    // By now the new server's machine is in touch too.
    sleep_until(new_side_start + STABILITY_WINDOW + Duration::from_millis(200));
    let end = client.request("board-2", short, Duration::from_secs(5));
    let lives = new_server.holds(client.addr, client.route) && new_server.resets_sent() == 0;
    let id = new_server.id();
    record.note(&format!(
        "board-2: {end:?}; {id} ran it: {}, still holds the flow and sent no reset: {lives}",
        new_server.has_run("board-2")
    ));
    fleet.copy_log("front-2", &["flow_", "WARN", "packet_dropped"]);
    for node in [&mut second, &mut old_side, &mut new_side] {
        all_running(std::slice::from_mut(node))?;
    }
    if !has_trouble && end != End::Answered {
        return Err(String::from("without the disruption the request was not answered"));
    }
    Ok(end == End::ResetBySystem && lives)
}

fn fleet_ready(fleet: &Fleet, side: u8) -> std::net::SocketAddr {
    (fleet.side_ip(side), fleet.ports.ready).into()
}

/// All connections to the store that are open go silent. A balancer notices that after 4.9 s, later
/// than its machine is in touch again, and until then works by the older configuration.
fn silent_watch(has_trouble: bool, record: &Record) -> Result<bool, String> {
    let mut fleet = Fleet::new(record)?;
    fleet.seeds = vec![fleet.front_ip(1), fleet.front_ip(2)];
    let store = Store::start(fleet.store_addr, record)?;
    let (kept, dropped, added) = (fleet.route(1), fleet.route(2), fleet.route(3));
    let of = |addr| Route { addr, kind: "idempotent" };
    write_config(&store, 3, &[of(kept), of(dropped)], record);
    let mut nodes = start_nodes(&fleet, 2, 2)?;
    let servers = [1, 2].map(|n| Server::start(fleet.server(n, SERVICE), record));
    let [one, two] = servers;
    let servers = [one?, two?];
    let router = Router::start(vec![fleet.router_node(1), fleet.router_node(2)], record);
    wait_for("rotation", || router.is_in_rotation(0) && router.is_in_rotation(1))?;
    std::thread::sleep(STABILITY_WINDOW + HEARTBEAT);

    // A change, after which the balancers watch anew.
    let changed_at = Instant::now();
    write_config(&store, 5, &[of(kept), of(dropped)], record);
    wait_for("a new watch of each balancer", || store.watches_since(changed_at) == 2)?;
    record.note("both balancers watch anew");
    let silent_at = Instant::now();
    if has_trouble {
        store.silence_open_connections();
        record.note("all open connections to the store are silent from now on, new ones work");
    }
    std::thread::sleep(Duration::from_millis(100));
    write_config(&store, 9, &[of(kept), of(added)], record);
    let acked_at = Instant::now();

    // All machines are in touch again 4 s after the connections went silent.
    let judged_from = silent_at + STABILITY_WINDOW;
    sleep_until(judged_from.max(acked_at + CONFIG_PROPAGATION) + Duration::from_millis(50));
    let mut is_broken = false;
    for n in 0..3_u8 {
        for (which, addr) in [("dropped", dropped), ("added", added)] {
            let first = usize::from(n % 2);
            let listen = fleet.client_listen(10 + 2 * n + u8::from(which == "added"));
            let mut client = Client::new(&router, first, listen, 41_000, addr, record)?;
            let since_ack = acked_at.elapsed().as_millis();
            let since_silent = silent_at.elapsed().as_millis();
            record.note(&format!(
                "client {}: SYN to the {which} route, {since_ack} ms after the acknowledgement, \
                 {since_silent} ms after the connections went silent",
                client.addr
            ));
            if which == "added" {
                // A refusal needs the second copy of the SYN, so the first one's time counts.
                let opened = client.open();
                record.note(&format!("the {which} route: {opened:?}"));
                is_broken |= opened == End::Refused;
                continue;
            }
            let opened = client.open();
            let request = format!("{which}-{n}");
            if opened == End::Answered {
                client.request(&request, Duration::ZERO, Duration::from_secs(2));
            }
            let has_run = servers.iter().any(|server| server.has_run(&request));
            record.note(&format!("the {which} route: {opened:?}, a server ran it: {has_run}"));
            is_broken |= has_run;
        }
    }
    // Until the change is in force, for the record.
    std::thread::sleep(Duration::from_secs(1));
    for n in 1..=2 {
        fleet.copy_log(&format!("front-{n}"), &["config", "platform", "store_", "revision_"]);
    }
    all_running(&mut nodes)?;
    Ok(is_broken)
}

/// The time of day of a side machine jumps back by 2 s between two starts of its server, so that
/// the second start is born earlier than the first. The agent acknowledges all heartbeats of the
/// second start and drops them. It takes the server for gone, resets its flows and offers it no
/// work for as long as it runs.
fn clock_back(has_trouble: bool, record: &Record) -> Result<bool, String> {
    /// How far the time of day was ahead, the default of `clock_step`.
    const STEP: u64 = 2_000;
    let mut fleet = Fleet::new(record)?;
    fleet.seeds = vec![fleet.front_ip(1), fleet.front_ip(2)];
    let store = Store::start(fleet.store_addr, record)?;
    let route = fleet.route(1);
    write_config(&store, 3, &[Route { addr: route, kind: "idempotent" }], record);
    let mut nodes = start_nodes(&fleet, 2, 1)?;
    let router = Router::start(vec![fleet.router_node(1), fleet.router_node(2)], record);
    wait_for("rotation", || router.is_in_rotation(0) && router.is_in_rotation(1))?;

    // The time of day is ahead when the server starts, and jumps back right after.
    let ahead = if has_trouble { STEP } else { 0 };
    record.note(&format!("the time of day of side-1 is {ahead} ms ahead"));
    let server = Server::start_at(fleet.server(1, SERVICE), unix_ms() + ahead, record)?;
    let started = Instant::now();
    let at = |ms| started + Duration::from_millis(ms);
    sleep_until(at(600));
    record.note("the time of day of side-1 is right again");
    if has_trouble {
        server.crash();
        sleep_until(at(1_300));
        server.start_again();
    }
    sleep_until(at(1_500));
    let short = Duration::from_millis(20);
    let mut client = Client::new(&router, 0, fleet.client_listen(1), 40_001, route, record)?;
    if client.open() != End::Answered {
        return Err(String::from("the flow did not open"));
    }
    for (n, ms) in [(1, 1_600), (2, 2_600), (3, 3_600)] {
        sleep_until(at(ms));
        let request = format!("board-{n}");
        if client.request(&request, short, Duration::from_secs(1)) != End::Answered {
            return Err(format!("{request} was not answered"));
        }
    }
    // The client pauses. The last disruption ended at 1.3 s.
    let ended = client.idle(at(9_000));
    let since_disruption = started.elapsed() - Duration::from_millis(1_300);
    let lives = server.holds(client.addr, client.route) && server.resets_sent() == 0;
    let ms = since_disruption.as_millis();
    record.note(&format!(
        "{ms} ms after the last disruption: {ended:?}; the server still holds the flow and sent \
         no reset: {lives}"
    ));
    // Later flows.
    sleep_until(at(15_000));
    for n in 0..4 {
        let listen = fleet.client_listen(10 + n);
        let mut next = Client::new(&router, usize::from(n % 2), listen, 41_000, route, record)?;
        let opened = next.open();
        record.note(&format!("later flow {n}: {opened:?}"));
    }
    fleet.copy_log("side-1", &["WARN", "state", "reset"]);
    all_running(&mut nodes)?;
    let is_in_touch = since_disruption > STABILITY_WINDOW;
    Ok(ended == Some(End::ResetBySystem) && lives && is_in_touch)
}

/// A server drains, says that it ends, and is started again in place within 100 ms, under its id.
/// The agent goes on with the end of the first start, and resets a flow of the second one.
fn quick_restart(has_trouble: bool, record: &Record) -> Result<bool, String> {
    let pause = Duration::from_millis(if has_trouble { 20 } else { 1_000 });
    let mut fleet = Fleet::new(record)?;
    fleet.seeds = vec![fleet.front_ip(1), fleet.front_ip(2)];
    let store = Store::start(fleet.store_addr, record)?;
    let route = fleet.route(1);
    write_config(&store, 3, &[Route { addr: route, kind: "non_idempotent" }], record);
    let mut nodes = start_nodes(&fleet, 2, 1)?;
    let server = Server::start(fleet.server(1, SERVICE), record)?;
    let router = Router::start(vec![fleet.router_node(1), fleet.router_node(2)], record);
    wait_for("rotation", || router.is_in_rotation(0) && router.is_in_rotation(1))?;
    std::thread::sleep(STABILITY_WINDOW + HEARTBEAT);
    if !server.drain() {
        return Err(String::from("the draining notice was not acknowledged"));
    }
    std::thread::sleep(DRAIN + Duration::from_millis(500));
    if !server.end() {
        return Err(String::from("the leave notice was not acknowledged"));
    }
    std::thread::sleep(pause);
    server.start_again();
    std::thread::sleep(Duration::from_millis(5));
    let mut client = Client::new(&router, 0, fleet.client_listen(1), 40_001, route, record)?;
    if client.open() != End::Answered {
        return Err(String::from("the flow did not open"));
    }
    let work = Duration::from_millis(300);
    let end = client.request("card-1", work, Duration::from_secs(3));
    std::thread::sleep(work);
    let lives = server.holds(client.addr, client.route) && server.resets_sent() == 0;
    record.note(&format!(
        "card-1: {end:?}; the server ran it: {}, still holds the flow and sent no reset: {lives}",
        server.has_run("card-1")
    ));
    fleet.copy_log("side-1", &["WARN", "state", "reset"]);
    all_running(&mut nodes)?;
    Ok(end == End::ResetBySystem && lives)
}
