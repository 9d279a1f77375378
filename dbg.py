import sys,contextlib
from proofs.authority import _run,_cell
from proofs.authority import *
sc,seed=sys.argv[1],int(sys.argv[2])
cells=[]
o=_cell.Cell.__init__
def init(self,*a):
    o(self,*a); cells.append(self)
    from collections import deque
    self.trace_=deque()
_cell.Cell.__init__=init
m=MUTATIONS[sys.argv[3]] if len(sys.argv)>3 else contextlib.nullcontext
with m(): r=run_scenario(sc,seed)
for l in cells[0].trace_: print(l[:240])
print(r.failures, r.events)
