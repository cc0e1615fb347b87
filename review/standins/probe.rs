use crate::daemon::{self, Addresses, Daemon, ZONES};
use crate::http::Conn;
use crate::record::TempDir;
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
pub fn run(daemons: usize, secs: u64, timeout: &str, work_ms: u64) {
    let dir = TempDir::create();
    let (store, at) = Store::start();
    store.put("op/config", &format!(r#"{{"version":"00000007","routes":{{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","retry_attempts","sticky","home_regions","traffic_split"],"rows":[["r-submit","listing.example","/bundles/","unsafe",{timeout},0.8,1,"publisher",2,false,[],null],["r-read","listing.example","/gallery/","safe",{timeout},0.8,1,"publisher",2,false,[],null]]}},"services":{{"columns":["name","health_path","max_conns","protocol","tls","cold_start_s","cold_per_s"],"rows":[["publisher","/healthz",330,"h1",false,3.0,19.0]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}"#));
    for n in 0..6 {
        let l = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = l.local_addr().unwrap();
        let id = format!("i-{n:08}");
        store.put(&format!("servers/{id}"), &format!("{{\"service\":\"publisher\",\"address\":\"{addr}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":30,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":1}}", ZONES[n % 6].0));
        std::thread::spawn(move || {
            for s in l.incoming().flatten() {
                let id = id.clone();
                std::thread::spawn(move || {
                    let mut c = Conn::new(s);
                    while let Some(h) = c.head() {
                        let (_b, _) = c.body(&h, false);
                        std::thread::sleep(Duration::from_millis(work_ms));
                        let t = format!(
                            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: {id}\r\nServer-Load: 1,0,30\r\nContent-Length: 2\r\n\r\nok",
                            h.field("request-id")
                        );
                        if c.stream.write_all(t.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    let ads: Vec<Addresses> = (0..daemons).map(|_| Addresses::free()).collect();
    let seeds: Vec<SocketAddr> = ads.iter().map(|a| a.control).collect();
    let ds: Vec<Daemon> = ads
        .iter()
        .enumerate()
        .map(|(n, a)| {
            Daemon::start(
                &dir.0,
                &format!("front-{n}"),
                ZONES[n % 6].0,
                *a,
                at,
                &seeds,
            )
        })
        .collect();
    println!("ready {}", daemon::wait_until_ready(&ds));
    for d in &ds {
        println!(
            "front {} pid {} metrics {}",
            d.at.front.port(),
            d.pid(),
            d.at.metrics
        );
    }
    println!("dir {}", dir.0.display());
    std::thread::sleep(Duration::from_secs(secs));
}
