//! Injects faults drawn from a seed into real daemons, and checks what callers and boxes observe.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cherrystand_core::Millis;
use cherrystand_testkit::{
    DEFAULT_SPAN, Fault, SoakSetup, daemon_program, draw_box_signals, draw_endpoint_cuts,
    draw_rate_limits, draw_restarts, draw_schedule, draw_silences, draw_slow_store,
    draw_store_restores, draw_surplus_answers, draw_zone_faults, run_soak,
};
use eyre::WrapErr;

/// With `--limits`, only every fifth fault of the general schedule is injected: with all of them, every
/// daemon would be excused by some fault at every moment, and no rate limit would be checked.
const FAULT_STRIDE_WITH_LIMITS: usize = 5;

/// With `--cuts` or `--silences`, faults of the general schedule come in the last part of this many only: they excuse
/// what they may have caused, so that nothing else would be checked beside them.
const PARTS: u64 = 3;

/// How many callers send to each daemon.
const CALLERS: usize = 3;

/// How many do with `--surplus`: surplus answers meet requests only on connections that are used all the time.
const MANY_CALLERS: usize = 16;

/// The number of the first rate limit fault, higher than all numbers of the general schedule.
const FIRST_LIMIT_NUMBER: usize = 1_000;

/// The number of the first cut, higher than those as well.
const FIRST_CUT_NUMBER: usize = 2_000;

/// The number of the first silence, higher than those as well.
const FIRST_SILENCE_NUMBER: usize = 3_000;

/// The number of the first box that sends answers once more, higher than those as well.
const FIRST_SURPLUS_NUMBER: usize = 4_000;

/// Injects faults drawn from a seed into real daemons, and checks what callers and boxes observe.
#[derive(FromArgs)]
struct Args {
    /// the seed
    #[argh(option)]
    seed: u64,
    /// time during which faults are injected, in milliseconds
    #[argh(option, default = "DEFAULT_SPAN.0")]
    span_ms: u64,
    /// number of daemons
    #[argh(option, default = "3")]
    daemons: usize,
    /// inject only the fault with this number; may be given several times
    #[argh(option)]
    only: Vec<usize>,
    /// directory for settings and logs; it is kept if a check fails
    #[argh(option)]
    dir: Option<PathBuf>,
    /// boxes report their start times and restart under the same ids, and other writers overwrite
    /// their entries
    #[argh(switch, long = "lives")]
    restarts: bool,
    /// a request that crashes every box that runs it is sent throughout the run
    #[argh(switch)]
    crashes: bool,
    /// boxes ask for backoff or announce in their answers that they are draining
    #[argh(switch, long = "wishes")]
    box_signals: bool,
    /// boxes advertise a rate limit in requests per second in their answers
    #[argh(switch, long = "limits")]
    rate_limits: bool,
    /// operators evacuate one of two availability zones and put it back into service, and boxes
    /// become cold
    #[argh(switch, long = "zones")]
    zone_faults: bool,
    /// the store is restored from backups some seconds old
    #[argh(switch, long = "drills")]
    store_restores: bool,
    /// the store answers late, but does at once what it is asked for
    #[argh(switch)]
    slow_store: bool,
    /// daemons are cut off from all boxes, while callers, the store and other daemons reach them
    #[argh(switch)]
    cuts: bool,
    /// sound boxes are silent for a moment, beside changes of the configuration
    #[argh(switch)]
    silences: bool,
    /// boxes send answers once more, at once or later, beside boxes that refuse requests
    #[argh(switch, long = "surplus")]
    surplus_answers: bool,
    /// print the schedule and exit
    #[argh(switch)]
    schedule: bool,
}

fn main() -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    let dir = args.dir.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("cherrystand-soak-{}-{}", args.seed, std::process::id()))
    });
    let program = daemon_program().wrap_err("looking for the daemon")?;
    let (seed, daemons) = (args.seed, args.daemons);
    let restarts =
        args.restarts || args.crashes || args.box_signals || args.rate_limits || args.zone_faults;
    let crashes = args.crashes;
    let zones = args.zone_faults;
    let cuts = args.cuts;
    let setup = SoakSetup {
        program,
        dir,
        seed,
        daemons,
        report_starts: restarts,
        crashes,
        zones,
        cuts,
        callers_per_daemon: match args.surplus_answers {
            true => MANY_CALLERS,
            false => CALLERS,
        },
    };
    let mut faults = draw_schedule(args.seed, setup.targets(), Millis(args.span_ms));
    if args.rate_limits {
        faults.retain(|fault| fault.number % FAULT_STRIDE_WITH_LIMITS == 0);
        let rate_limits =
            draw_rate_limits(args.seed, setup.targets(), Millis(args.span_ms), FIRST_LIMIT_NUMBER);
        faults.extend(rate_limits);
    } else if restarts {
        let restarts =
            draw_restarts(args.seed, setup.targets(), Millis(args.span_ms), faults.len());
        faults.extend(restarts);
    }
    if args.cuts || args.silences {
        faults.retain(|fault| fault.at.0 * PARTS >= args.span_ms * (PARTS - 1));
    }
    if args.silences {
        let span = Millis(args.span_ms / PARTS * (PARTS - 1));
        faults.extend(draw_silences(args.seed, setup.targets(), span, FIRST_SILENCE_NUMBER));
    }
    if args.cuts {
        let cuts =
            draw_endpoint_cuts(args.seed, setup.targets(), Millis(args.span_ms), FIRST_CUT_NUMBER);
        faults.extend(cuts);
    }
    if args.surplus_answers {
        let surplus = draw_surplus_answers(
            args.seed,
            setup.targets(),
            Millis(args.span_ms),
            FIRST_SURPLUS_NUMBER,
        );
        faults.extend(surplus);
    }
    if args.box_signals {
        let box_signals =
            draw_box_signals(args.seed, setup.targets(), Millis(args.span_ms), faults.len());
        faults.extend(box_signals);
    }
    if args.store_restores {
        faults.extend(draw_store_restores(args.seed, Millis(args.span_ms), faults.len()));
    }
    if args.slow_store {
        faults.extend(draw_slow_store(args.seed, Millis(args.span_ms), faults.len()));
    }
    if args.zone_faults {
        let zone_faults =
            draw_zone_faults(args.seed, setup.targets(), Millis(args.span_ms), faults.len());
        faults.extend(zone_faults);
    }
    if !args.only.is_empty() {
        faults.retain(|fault| args.only.contains(&fault.number));
    }
    println!("seed {}, {} faults", args.seed, faults.len());
    faults.iter().for_each(|fault| println!("  {fault}"));
    if args.schedule {
        return Ok(ExitCode::SUCCESS);
    }
    run(&setup, &faults)
}

fn run(setup: &SoakSetup, faults: &[Fault]) -> eyre::Result<ExitCode> {
    std::fs::create_dir_all(&setup.dir).wrap_err("creating a directory for logs")?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("starting the runtime")?;
    let local = tokio::task::LocalSet::new();
    let outcome =
        local.block_on(&runtime, run_soak(setup, faults)).wrap_err("injecting the faults")?;
    outcome.outcome_counts.iter().for_each(|(outcome, count)| println!("  {count:>5} {outcome}"));
    outcome.violations.iter().for_each(|violation| println!("BROKEN {violation}"));
    println!("seed {}: {} broken", setup.seed, outcome.violations.len());
    if outcome.violations.is_empty() {
        std::fs::remove_dir_all(&setup.dir).wrap_err("removing the logs")?;
        return Ok(ExitCode::SUCCESS);
    }
    println!("settings and logs are in {}", setup.dir.display());
    Ok(ExitCode::FAILURE)
}
