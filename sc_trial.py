import contextlib,time
from proofs.authority import *
pairs=[("claimant ends","ended entries are forgotten at once"),("claim after grant","an entry claims while its grant is in force"),("join beside outage","a leader never lapses"),("join beside outage","an entry that is not enrolled claims at once"),("worker lost first","lost runs are released without a later proof"),("ends beside claim","inherited ends are not withheld"),("restarts beside claim","a new incarnation of a worker is used at once"),("pause after append","an append counts from its answer")]
import sys
n=int(sys.argv[1])
for sc,mu in pairs:
    t=time.time()
    clean={s:r.failures for s in range(1,n+1) if (r:=run_scenario(sc,s)).failures}
    with MUTATIONS[mu]():
        mut={s:list(r.failures) for s in range(1,n+1) if (r:=run_scenario(sc,s)).failures}
    print(sc,'|',mu,'| clean',clean,'| mutated',mut, f'{time.time()-t:.1f} s',flush=True)
