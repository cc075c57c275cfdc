//! One run of a case: the record, the temporary folder, and the sidecar process.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn at(&self, when: Instant) -> u128 {
        when.saturating_duration_since(self.start).as_millis()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.start.elapsed().as_millis());
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:>7} ms  {text}", self.ms());
    }
}

/// The platform's limits for the sidecar, as they stand in its configuration.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
}

/// A running sidecar. It is killed when this is dropped.
pub struct Sidecar {
    pub address: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap()
}

/// Settings with the figures of a small deployment: two sidecars; `look` may run again, `order`
/// has a key that all pods know for 3 s, `pay` must not run twice.
fn settings() -> String {
    r#"{"azs":["a"],"balancers":2,"clients":{"marks_retry":false},
"domain":{"api_timeout_s":2.0,"ayes_needed":0,"counted_by":"all","flag_share":0.3,"gate_mode":"timer","keys_stay":false,"layout":"in_place","most_shares":[0.12,0.42,1.0],"moves_after_s":4.0,"shielded":0,"soak_s":1.5,"span_s":2.0,"stage_share":[0.1,0.35,1.0],"sums_every_s":0.0,"told_every_s":6.0,"uncounted":1.0,"vote_allowance":25.0,"vote_ttl_s":4.0,"votes_to_hold":1,"votes_to_revert":1},
"family":"rollout","layers":["pods"],
"limits":{"cancel":true,"connect_timeout_s":0.25,"idle_close_s":15.0,"max_attempts":6,"max_open":20000,"max_retry_after_s":0.5,"peers":false,"probing":false,"retry_after":true,"second_copies":true,"streams_per_conn":1},
"me":0,"membership_mode":"subscribe",
"profiles":[{"deadline_s":3.0,"group":"all","late_worth":0.0,"name":"look","repeat":"free","streaming":false,"target_s":1.2,"window_s":5.0,"worth":1.0},{"deadline_s":3.0,"group":"all","late_worth":0.0,"name":"order","repeat":"guarded","streaming":false,"target_s":1.2,"window_s":3.0,"worth":3.0},{"deadline_s":2.5,"group":"all","late_worth":0.0,"name":"pay","repeat":"single_shot","streaming":false,"target_s":0.6,"window_s":5.0,"worth":5.0}],
"realms":[{"name":"acme","quota_per_s":400.0,"share":0.6},{"name":"bolt","quota_per_s":300.0,"share":0.4}],
"rules":{"answer_slack_s":0.02,"ask_within_s":10.0,"cold_from":0.35,"cold_s":3.4,"fall_multiple":2.0,"fall_s":3.0,"stop_sending_within_s":1.0},
"shapes":["m"],"stats":{"fields":["active"],"how":"off"},"tier":0,"weight_source":"off","worth_by":"request","zone":0}"#
        .replace('\n', "")
}

/// What a sidecar is told at its start.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub rollouts: SocketAddr,
    pub news: String,
    pub known: String,
    pub limits: Limits,
}

impl Config {
    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"rollouts":{{"address":"{}","news":{}}},"known":{},"settings":{}}}"#,
            self.listen,
            self.discovery,
            self.limits.memory_mb,
            self.limits.sockets,
            self.rollouts,
            self.news,
            self.known,
            settings()
        )
    }
}

/// The command `run` of the deploy file.
fn run_command(root: &str) -> String {
    let text =
        std::fs::read_to_string(format!("{root}/deploy/balancer.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run "))
        .expect("the deploy file has a command run");
    line.split('"').nth(1).expect("a quoted command").to_owned()
}

impl Sidecar {
    pub fn start(root: &str, config: &Config, record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let file = folder.join("config.json");
        std::fs::write(&file, config.json()).unwrap();
        let log = File::create(folder.join("sidecar.log")).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command(root))
            .current_dir(root)
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_LISTEN", config.listen.to_string())
            .env("ROUTER_DISCOVERY", config.discovery.to_string())
            .env("ROUTER_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Ok(filter) = std::env::var("SIDECAR_LOG") {
            command.env("RUST_LOG", filter);
        }
        let child = command.spawn().expect("the sidecar starts");
        RUNNING.store(child.id(), Ordering::Relaxed);
        record.line(&format!(
            "sidecar started with limits memory_mb {} sockets {}",
            config.limits.memory_mb, config.limits.sockets
        ));
        Self {
            address: config.listen,
            child,
            folder,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.store(0, Ordering::Relaxed);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

/// Memory of a process's own that is resident now, in kB: neither files nor the program's text.
pub fn own_memory_kb(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_ascii_whitespace().nth(1)?.parse().ok()
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The process id of the running sidecar, 0 if there is none.
static RUNNING: AtomicU32 = AtomicU32::new(0);

/// Ends the run when it could not be played: the sidecar is killed first.
pub fn give_up(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    let pid = RUNNING.load(Ordering::Relaxed);
    if pid != 0 {
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -KILL {pid}"))
            .status();
    }
    std::process::exit(2);
}

/// Ends the run when it takes longer than this.
pub fn watchdog(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        give_up("it took too long");
    });
}
