//! The cases.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::client::{Clients, Habit, Router};
use crate::json::{self, J};
use crate::machine::{Class, Machine, Ports, Site, remove_dir, temp_dir};
use crate::server::{Config, Server};
use crate::store::Store;
use crate::world::World;

pub fn run(case: &str, record: &str) -> i32 {
    let world = World::new(record);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    world.log(&format!("case {case}, trouble {has_trouble}"));
    let outcome = match case {
        "half-open" => half_open(&world, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let state = world.state.lock().unwrap();
    let (datagrams, lost, broken) = (state.datagrams, state.lost, state.broken.clone());
    drop(state);
    world.log(&format!("{datagrams} datagrams of clients, {lost} lost on purpose"));
    match outcome {
        Err(problem) => {
            world.log(&format!("could not run: {problem}"));
            eprintln!("could not run: {problem}");
            2
        }
        Ok(()) if broken.is_empty() => {
            println!("the rule held");
            0
        }
        Ok(()) => {
            for line in &broken {
                println!("broken: {line}");
            }
            1
        }
    }
}

/// A deployment on loopback.
struct Fleet {
    site: Site,
    store: Store,
    router: Arc<Router>,
    clients: Arc<Clients>,
    fronts: Vec<Machine>,
    sides: Vec<Machine>,
    client_ips: Vec<Ipv4Addr>,
}

const SERVICE: &str = "desk";

fn vip(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 24, 0, 1), port)
}

impl Fleet {
    fn new(case: &str, world: &World, fronts: usize, sides: usize) -> Result<Self, String> {
        let fronts: Vec<_> = (1..=fronts).map(|n| Machine::new(n, Class::Front)).collect();
        let first = fronts.len() + 1;
        let sides: Vec<_> = (first..first + sides).map(|n| Machine::new(n, Class::Side)).collect();
        let client_ips: Vec<_> = (1..=6).map(|n| Ipv4Addr::new(127, 22, n, 1)).collect();
        let machines = || fronts.iter().chain(&sides);
        let mut ips: Vec<_> = machines().map(|m| m.ip).collect();
        ips.extend(machines().map(|m| m.store_ip));
        ips.extend(&client_ips);
        let ports = Ports::find(&ips).ok_or("no free ports")?;
        let seeds = fronts.iter().take(3).map(|m| m.ip).collect();
        let site = Site {
            dir: temp_dir(case),
            ports,
            seeds,
            service: String::from(SERVICE),
            world: world.clone(),
        };
        let store = Store::default();
        for machine in machines() {
            store.serve(machine.number, SocketAddrV4::new(machine.store_ip, ports.store).into());
        }
        let router = Router::new(world);
        let clients = Arc::new(Clients::new(world, &router, ports.packets));
        Ok(Self { site, store, router, clients, fronts, sides, client_ips })
    }

    fn write_config(&self, version: u64, routes: &[(&str, u16, &str, u64)]) -> Instant {
        let routes: Vec<_> = routes
            .iter()
            .map(|(name, port, kind, timeout)| {
                format!(
                    "{{\"name\":\"{name}\",\"host\":\"127.24.0.1\",\"pathPrefix\":\"/{port}/\",\"type\":\"{kind}\",\"service\":\"{SERVICE}\",\"timeoutMs\":{timeout},\"goalMs\":150,\"priority\":1,\"maxAttempts\":1}}"
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":2000}}],\"limits\":{{\"idleTimeoutMs\":12000}}}}",
            routes.join(",")
        );
        let spec: J = json::parse(&text).expect("a configuration");
        let at = self.store.put("config", "main", spec);
        self.site.world.log(&format!("configuration {version} is acknowledged"));
        at
    }

    fn start_machines(&mut self) {
        for machine in self.fronts.iter_mut().chain(&mut self.sides) {
            machine.start(&self.site);
        }
        for machine in &self.fronts {
            self.router.add(machine.at(self.site.ports.packets), machine.at(self.site.ports.ready));
        }
    }

    fn server(&self, side: usize, id: &str, slots: usize, work_ms: u64) -> Server {
        let config = Config {
            id: String::from(id),
            service: String::from(SERVICE),
            slots,
            work: Duration::from_millis(work_ms),
        };
        Server::start(&self.site, &self.sides[side], config)
    }

    fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while !self.router.all_in() {
            if Instant::now() > until {
                return Err(String::from("the balancers are not ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn session(&self, number: usize, port: u16, habit: Habit) {
        let ip = self.client_ips[number % self.client_ips.len()];
        self.clients.start.lock().unwrap().push((number, ip, vip(port), habit));
    }

    fn sleep(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }

    fn end(mut self) {
        self.clients.stop.store(true, Ordering::Relaxed);
        for machine in self.fronts.iter_mut().chain(&mut self.sides) {
            machine.kill();
        }
        let log = &self.site.world;
        let answered = self.clients.answered.load(Ordering::Relaxed);
        let lost = self.clients.lost_requests.load(Ordering::Relaxed);
        log.log(&format!("{answered} requests answered, {lost} lost"));
        remove_dir(&self.site.dir);
    }
}

/// One SYN+ACK is lost on its way to a client, whose copy of the SYN opens the flow at another
/// server. Later the first server is emptied and taken away, as planned.
fn half_open(world: &World, has_trouble: bool) -> Result<(), String> {
    let mut fleet = Fleet::new("half-open", world, 2, 3)?;
    fleet.write_config(3, &[("score", 443, "non_idempotent", 1_200)]);
    fleet.start_machines();
    fleet.sleep(300);
    let servers: Vec<_> = (0..3).map(|n| fleet.server(n, &format!("i-{n}"), 4, 20)).collect();
    fleet.wait_ready(Duration::from_secs(15))?;
    fleet.sleep(5_000);
    Arc::clone(&fleet.clients).run(fleet.client_ips.clone());
    let habit = Habit {
        pause: Duration::from_millis(400),
        is_repeatable: false,
        deadline: Duration::from_millis(1_200),
    };
    for number in 0..40 {
        fleet.session(number, 443, habit.clone());
        fleet.sleep(20);
    }
    fleet.sleep(8_000);
    // Sessions whose SYN+ACK is lost, until the copy of one SYN goes to another server: three at
    // most, of some 7,000 datagrams.
    let mut key = None;
    let mut leaving = None;
    for marked in 100..103 {
        if has_trouble {
            fleet.clients.lose.lock().unwrap().push(marked);
        }
        fleet.session(marked, 443, habit.clone());
        fleet.sleep(2_500);
        key = fleet.clients.current.lock().unwrap().get(&marked).copied();
        let is_half = |server: &Server| {
            key.is_some_and(|key| server.shared.half_open.lock().unwrap().contains(&key))
        };
        leaving = servers.iter().position(is_half);
        if leaving.is_some() || !has_trouble {
            break;
        }
    }
    let key = key.ok_or("the marked session has no open flow")?;
    let holder = world.state.lock().unwrap().held.get(&key).map(|held| held.server.clone());
    world.log(&format!("flow of {}: held by {holder:?}, half-open at {leaving:?}", key.0));
    let leaving = match leaving {
        Some(leaving) => leaving,
        None if has_trouble => return Err(String::from("no copy of a SYN went to another server")),
        None => servers.iter().position(|s| Some(&s.config.id) != holder.as_ref()).unwrap_or(0),
    };
    fleet.sleep(2_500);
    // Planned: the server drains, leaves, and its machine's node is stopped.
    servers[leaving].leave(Duration::from_millis(3_500));
    let site = fleet.site.clone();
    fleet.sides[leaving].stop(&site);
    fleet.sleep(6_000);
    fleet.end();
    Ok(())
}
